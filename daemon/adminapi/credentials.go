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

// Role determines which calls an operator may make.
type Role string

// The roles. An Operator may make every call that a Viewer may.
const (
	Viewer   Role = "viewer"
	Operator Role = "operator"
)

// Credential authorizes one person or pipeline to use the admin API. It is part
// of the daemon's settings.
type Credential struct {
	Name string `json:"name" jsonschema:"minLength=1"`
	// KeyHash is the SHA-256 of the bearer key, in lower-case hex.
	KeyHash string `json:"key_hash" jsonschema:"pattern=^[0-9a-f]{64}$"`
	Role    Role   `json:"role" jsonschema:"enum=viewer,enum=operator"`
}

// readOnlyProcedures lists the calls that change nothing. All others require
// the Operator role, so that a call added later is not open to viewers by
// mistake.
var readOnlyProcedures = map[string]bool{
	adminv1connect.AdminServiceDiffProcedure:    true,
	adminv1connect.AdminServiceStatusProcedure:  true,
	adminv1connect.AdminServiceHistoryProcedure: true,
	adminv1connect.AdminServiceUsageProcedure:   true,
}

const bearerPrefix = "Bearer "

// UnauthenticatedError reports that a call has no bearer key or one that
// matches no credential.
type UnauthenticatedError struct{}

func (*UnauthenticatedError) Error() string { return "no credential has this bearer key" }

// ForbiddenError reports that the credential's role does not allow a call.
type ForbiddenError struct {
	Name string
	Role Role
}

func (e *ForbiddenError) Error() string {
	return fmt.Sprintf("%s is a %s, which this call does not allow", e.Name, e.Role)
}

type operatorContextKey struct{}

// operatorOf returns the name of the credential with which the call was made.
func operatorOf(ctx context.Context) string {
	name, _ := ctx.Value(operatorContextKey{}).(string)
	return name
}

// authenticator maps key hashes to credentials and authenticates calls by their
// bearer key. Keys are looked up by hash, so the duration of a lookup reveals
// nothing about a key.
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
			klog.InfoS("Admin call rejected", "procedure", procedure, "peer", r.Peer().Addr, "err", err)
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
