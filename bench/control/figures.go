package control

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"

	"geraniumstack.org/geraniumstack/coordination/membership"
	"geraniumstack.org/geraniumstack/coordination/view"
	meshv1 "geraniumstack.org/geraniumstack/gen/geranium/mesh/v1"
	"geraniumstack.org/geraniumstack/gen/geranium/mesh/v1/meshv1connect"
	"geraniumstack.org/geraniumstack/state/ident"
)

// gateways returns the microseconds of one answer.
func (r *rig) gateways() float64 {
	begin := time.Now()
	for i := range ticks {
		membership.Gateways(r.daemon.Daemons(), "domain-1", uint64(i))
	}
	return float64(time.Since(begin).Microseconds()) / ticks
}

// changes returns the processor time, in microseconds, of an exchange with news
// of one daemon.
func (r *rig) changes(ctx context.Context, n int) (float64, error) {
	changed := fakeDaemon(2)
	before := processorTime()
	for range n {
		changed.Version++
		if err := r.exchange(ctx, &meshv1.Exchange{Daemons: []*meshv1.Daemon{changed}}); err != nil {
			return 0, err
		}
		r.daemon.Daemons()
	}
	return float64((processorTime() - before).Microseconds()) / float64(max(n, 1)), nil
}

// connections returns the kilobytes of one open connection.
func (r *rig) connections(ctx context.Context) (float64, error) {
	before := heap()
	var transports []*http.Transport
	defer func() {
		for _, t := range transports {
			t.CloseIdleConnections()
		}
	}()
	for range connections {
		transport := &http.Transport{}
		transports = append(transports, transport)
		client := meshv1connect.NewMeshServiceClient(&http.Client{Transport: transport}, "http://"+r.listener.Addr().String())
		if _, err := client.FetchConfig(ctx, connect.NewRequest(&meshv1.FetchConfigRequest{})); err != nil {
			return 0, err
		}
	}
	return (heap() - before) / connections / 1024, nil
}

// tick returns the microseconds of one look at all records for what is too old.
func tick(members int) float64 {
	now := time.Now()
	table := membership.New(now, membership.Member{Daemon: view.Daemon{Incarnation: "entry-0~00"}})
	var vms []membership.VM
	for i := range int(runnersPerDaemon * float64(members)) {
		vms = append(vms, membership.VM{ID: strconv.Itoa(i), State: membership.VMLive})
	}
	table.ApplyVMList(now, vms)
	var daemons []membership.Member
	for i := range members {
		daemons = append(daemons, membership.Member{Daemon: view.Daemon{Incarnation: ident.Incarnation(strconv.Itoa(i))}})
	}
	table.MergeRegistrations(now, daemons)
	begin := time.Now()
	for range ticks {
		table.Tick(now)
	}
	return float64(time.Since(begin).Microseconds()) / ticks
}
