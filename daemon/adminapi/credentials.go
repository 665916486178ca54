package adminapi

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"

	"connectrpc.com/connect"
	"k8s.io/klog/v2"

	"geraniumstack.org/geraniumstack/gen/geranium/admin/v1/adminv1connect"
)

// Role says what an operator may do.
type Role string

// Roles; an operator may do all that a viewer may.
const (
	Viewer   Role = "viewer"
	Operator Role = "operator"
)

// Credential lets one person or pipeline use the interface. It is part of the
// daemon's settings.
type Credential struct {
	Name string `json:"name" jsonschema:"minLength=1"`
	// KeyHash is the SHA-256, in lower-case hex, of the bearer key.
	KeyHash string `json:"key_hash" jsonschema:"pattern=^[0-9a-f]{64}$"`
	Role    Role   `json:"role" jsonschema:"enum=viewer,enum=operator"`
}

// readOnlyProcedures names the calls that change nothing. Any other needs an Operator, so
// a call that is added later is not open to viewers by mistake.
var readOnlyProcedures = map[string]bool{
	adminv1connect.AdminServiceDiffProcedure:    true,
	adminv1connect.AdminServiceStatusProcedure:  true,
	adminv1connect.AdminServiceHistoryProcedure: true,
	adminv1connect.AdminServiceUsageProcedure:   true,
}

const bearerPrefix = "Bearer "

// UnauthenticatedError says that no credential fits the bearer key.
type UnauthenticatedError struct{}

func (*UnauthenticatedError) Error() string { return "no credential has this bearer key" }

// ForbiddenError says that the credential's role does not allow a call.
type ForbiddenError struct {
	Name string
	Role Role
}

func (e *ForbiddenError) Error() string {
	return fmt.Sprintf("%s is a %s, which this call does not allow", e.Name, e.Role)
}

type operatorContextKey struct{}

// operatorOf returns the name of the credential that made the call.
func operatorOf(ctx context.Context) string {
	name, _ := ctx.Value(operatorContextKey{}).(string)
	return name
}

// authenticator admits calls by their bearer key. Keys are looked up by their
// hash, so the time of a look-up tells nothing of a key.
type authenticator map[string]Credential

func newAuthenticator(credentials []Credential) authenticator {
	a := authenticator{}
	for _, c := range credentials {
		a[c.KeyHash] = c
	}
	return a
}

func (a authenticator) intercept(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		procedure := r.Spec().Procedure
		credential, err := a.admit(r.Header().Get("Authorization"), procedure)
		if err != nil {
			klog.InfoS("Admin call refused", "procedure", procedure, "peer", r.Peer().Addr, "err", err)
			return nil, connect.NewError(codeOf(err), err)
		}
		return next(context.WithValue(ctx, operatorContextKey{}, credential.Name), r)
	}
}

func (a authenticator) admit(authorization, procedure string) (Credential, error) {
	key, ok := strings.CutPrefix(authorization, bearerPrefix)
	if !ok {
		return Credential{}, &UnauthenticatedError{}
	}
	sum := sha256.Sum256([]byte(key))
	credential, ok := a[hex.EncodeToString(sum[:])]
	if !ok {
		return Credential{}, &UnauthenticatedError{}
	}
	if credential.Role != Operator && !readOnlyProcedures[procedure] {
		return Credential{}, &ForbiddenError{Name: credential.Name, Role: credential.Role}
	}
	return credential, nil
}

func codeOf(err error) connect.Code {
	var forbidden *ForbiddenError
	if errors.As(err, &forbidden) {
		return connect.CodePermissionDenied
	}
	return connect.CodeUnauthenticated
}
