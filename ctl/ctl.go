// Package ctl implements the subcommands of geraniumctl.
package ctl

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/google/subcommands"

	"geraniumstack.org/geraniumstack/gen/geranium/admin/v1/adminv1connect"
	"geraniumstack.org/geraniumstack/state/document"
	"geraniumstack.org/geraniumstack/transport/httpanswer"
)

// Exit statuses in addition to those of package subcommands (0 success, 1
// failure, 2 usage). docs/operators/geraniumctl.md lists them.
const (
	// ExitInvalid reports that a document is invalid.
	ExitInvalid = subcommands.ExitUsageError
	// ExitConflict reports that another operator's manifest was accepted first.
	ExitConflict subcommands.ExitStatus = 3
	// ExitUnavailable reports that no daemon answered.
	ExitUnavailable subcommands.ExitStatus = 4
	// ExitNotInForce reports that a manifest was accepted but is not yet in
	// force in every failure domain.
	ExitNotInForce subcommands.ExitStatus = 5
)

const (
	outputJSON = "json"
	outputText = "text"
	keyEnv     = "GERANIUM_ADMIN_KEY"
	adminEnv   = "GERANIUM_ADMIN"
	adminURL   = "http://127.0.0.1:7003"
	groupAdmin = "administration"
	groupLocal = "offline"
)

// Register adds all subcommands to a commander. They write to out and errs.
func Register(c *subcommands.Commander, out, errs io.Writer) {
	base := common{out: out, errs: errs}
	c.Register(c.HelpCommand(), "")
	c.Register(c.FlagsCommand(), "")
	c.Register(c.CommandsCommand(), "")
	c.Register(&applyCmd{submission{common: base}}, groupAdmin)
	c.Register(&rollbackCmd{submission{common: base}}, groupAdmin)
	c.Register(&diffCmd{common: base}, groupAdmin)
	c.Register(&statusCmd{common: base}, groupAdmin)
	c.Register(&historyCmd{common: base}, groupAdmin)
	c.Register(&usageCmd{common: base}, groupAdmin)
	c.Register(&drainCmd{common: base}, groupAdmin)
	c.Register(&gatewaysCmd{common: base}, groupAdmin)
	c.Register(&checkCmd{common: base}, groupLocal)
	c.Register(&checkConfigCmd{common: base}, groupLocal)
	c.Register(&explainCmd{common: base}, groupLocal)
	c.Register(&causesCmd{common: base}, groupLocal)
	c.Register(&trialsCmd{common: base}, groupLocal)
	c.Register(&schemaCmd{common: base}, groupLocal)
	c.Register(&demoCmd{common: base}, groupLocal)
	c.Register(&loadCmd{common: base}, groupAdmin)
	c.Register(&benchCmd{common: base}, groupLocal)
}

// common holds the outputs and flags that most commands share.
type common struct {
	out, errs io.Writer
	// output is outputText or outputJSON.
	output string
	// The fields below are set by the flags of the commands that call daemons.
	//
	// admin holds the base URLs of admin listeners, separated by commas, ca names
	// a file with certificate authorities, and key is the operator's bearer key.
	admin   string
	ca      string
	key     string
	timeout time.Duration
}

// setFlags registers the flags of commands that don't call daemons.
func (c *common) setFlags(f *flag.FlagSet) {
	f.StringVar(&c.output, "o", outputText, "output: text or json")
}

// setAdminFlags registers the flags of commands that call daemons.
func (c *common) setAdminFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.StringVar(&c.admin, "admin", envOr(adminEnv, adminURL), "admin listeners' base URLs, separated by commas; the first that answers is used")
	f.StringVar(&c.ca, "ca", "", "file with the authorities (PEM) that an https admin listener's certificate is checked against")
	f.StringVar(&c.key, "key", os.Getenv(keyEnv), "the operator's bearer key; "+keyEnv+" is the default")
	f.DurationVar(&c.timeout, "timeout", 15*time.Second, "bound on each call")
}

func envOr(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}

// print writes v as JSON if the output format is JSON; otherwise it calls text.
func (c *common) print(v any, text func(io.Writer)) {
	if c.output != outputJSON {
		text(c.out)
		return
	}
	enc := json.NewEncoder(c.out)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		fmt.Fprintln(c.errs, "write output:", err)
	}
}

// reportError prints an error, or each problem of an invalid document, and
// returns the exit status.
func (c *common) reportError(err error) subcommands.ExitStatus {
	var invalid *document.InvalidError
	if errors.As(err, &invalid) {
		c.printProblems(invalid.Problems)
		return ExitInvalid
	}
	fmt.Fprintln(c.errs, "error:", err)
	return statusOf(err)
}

func (c *common) printProblems(problems []document.Problem) {
	if c.output == outputJSON {
		c.print(map[string]any{"problems": problems}, nil)
		return
	}
	for _, p := range problems {
		fmt.Fprintln(c.errs, p)
	}
}

// statusOf returns the exit status for an error of an admin call; any other
// error is a plain failure.
func statusOf(err error) subcommands.ExitStatus {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument:
		return ExitInvalid
	case connect.CodeAborted, connect.CodeFailedPrecondition, connect.CodeAlreadyExists:
		return ExitConflict
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded:
		return ExitUnavailable
	}
	return subcommands.ExitFailure
}

// adminMethod is a method of the admin client, e.g. adminv1connect.AdminServiceClient.Status.
type adminMethod[Req, Resp any] func(adminv1connect.AdminServiceClient, context.Context, *connect.Request[Req]) (*connect.Response[Resp], error)

// call makes an admin call to the first daemon that answers. If a daemon does
// not answer, the call may have reached it anyway. Trying the next daemon is
// safe nevertheless, because all admin calls may be repeated; Apply and
// Rollback are made so by their submission ID.
func call[Req, Resp any](ctx context.Context, c *common, method adminMethod[Req, Resp], req *Req) (*Resp, error) {
	httpClient, err := c.httpClient()
	if err != nil {
		return nil, err
	}
	var lastErr error
	for _, base := range strings.Split(c.admin, ",") {
		client := adminv1connect.NewAdminServiceClient(httpClient, strings.TrimSpace(base), connect.WithInterceptors(bearer(c.key)))
		callCtx, cancel := context.WithTimeout(ctx, c.timeout)
		resp, err := method(client, callCtx, connect.NewRequest(req))
		cancel()
		if err == nil {
			return resp.Msg, nil
		}
		lastErr = err
		if statusOf(err) != ExitUnavailable {
			break
		}
	}
	return nil, fmt.Errorf("admin call: %w", lastErr)
}

func bearer(key string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			r.Header().Set("Authorization", "Bearer "+key)
			return next(ctx, r)
		}
	}
}

// AuthoritiesError reports that a file contains no PEM certificate.
type AuthoritiesError struct{ File string }

func (e *AuthoritiesError) Error() string { return fmt.Sprintf("no certificate in %s", e.File) }

func (c *common) httpClient() (*http.Client, error) {
	if c.ca == "" {
		return httpanswer.NewClient(), nil
	}
	data, err := os.ReadFile(c.ca)
	if err != nil {
		return nil, fmt.Errorf("read authorities: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, &AuthoritiesError{File: c.ca}
	}
	return &http.Client{Transport: httpanswer.NewTransport(&http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}})}, nil
}
