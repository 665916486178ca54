package service

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/standin/pipe"
)

// runInBubble runs a test with one service in a testing/synctest bubble.
func runInBubble(t *testing.T, test func(is *is.I, s *Service, log *ExecutionLog, call func(action string, timeout time.Duration) (*http.Response, error))) {
	synctest.Test(t, func(t *testing.T) {
		n := pipe.NewNetwork()
		l, err := n.Listen("casos:80")
		is := is.New(t)
		is.NoErr(err)
		log := NewExecutionLog()
		s := New("casos-1", log)
		server := &http.Server{Handler: s.Handler()}
		go server.Serve(l)
		client := n.Client()
		test(is, s, log, func(action string, timeout time.Duration) (*http.Response, error) {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://casos:80/pledges", strings.NewReader("50"))
			is.NoErr(err)
			r.Header.Set(ActionHeader, action)
			response, err := client.Do(r)
			if err == nil {
				var answer CallResponse
				is.NoErr(json.NewDecoder(response.Body).Decode(&answer))
				response.Body.Close()
			}
			return response, err
		})
		client.CloseIdleConnections()
		server.Close()
	})
}

// A pledge's call fails in four ways. A refusal and a close after reading
// execute nothing; a close after executing and a silent hang execute the
// pledge. Only the refusal may be marked as not executed.
func TestExecutionWithoutResponse(t *testing.T) {
	runInBubble(t, func(is *is.I, s *Service, log *ExecutionLog, call func(string, time.Duration) (*http.Response, error)) {
		s.SetFaults(Faults{RefuseBefore: 1, CloseAfterRead: 1, CloseAfterExecute: 1, HangSilently: 1})
		response, err := call("refused", time.Minute)
		is.NoErr(err)
		is.Equal(response.Header.Get(NotExecutedHeader), NotExecuted)
		is.Equal(log.Count("refused"), 0)
		_, err = call("read", time.Minute)
		is.True(err != nil)
		is.Equal(log.Count("read"), 0)
		_, err = call("executed", time.Minute)
		is.True(err != nil)
		is.Equal(log.Count("executed"), 1)
		start := time.Now()
		_, err = call("silent", time.Minute)
		is.True(err != nil)
		is.Equal(time.Since(start), time.Minute)
		is.Equal(log.Count("silent"), 1)
		response, err = call("executed", time.Minute)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
		is.Equal(log.ExecutedRepeatedly(), []string{"executed"})
	})
}

// A caller times out after the service has read its call. The service must
// execute the call all the same, after the caller has disconnected.
func TestExecutesAfterCallerGaveUp(t *testing.T) {
	runInBubble(t, func(is *is.I, s *Service, log *ExecutionLog, call func(string, time.Duration) (*http.Response, error)) {
		s.SetFaults(Faults{ExecuteDelayMillis: 5000})
		_, err := call("late", time.Second)
		is.True(err != nil)
		is.Equal(log.Count("late"), 0)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		is.Equal(log.Count("late"), 1)
	})
}

func TestLeavingRefusesAndDeadBreaks(t *testing.T) {
	runInBubble(t, func(is *is.I, s *Service, log *ExecutionLog, call func(string, time.Duration) (*http.Response, error)) {
		s.Notice()
		response, err := call("a", time.Second)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
		s.Die()
		_, err = call("a", time.Second)
		is.True(err != nil)
		is.Equal(len(log.Executions()), 0)
	})
}
