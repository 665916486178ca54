package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v5"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/state/refusal"
)

const (
	bearerPrefix        = "Bearer "
	workspaceKey        = "workspace"
	notReadyRetryAfter  = 500 * time.Millisecond
	authorizationHeader = "Authorization"
	timeoutHeader       = "X-Timeout-Ms"
	requestIDHeader     = "X-Request-Id"
)

// credentials maps the hashes of API keys to workspaces. The index belongs to one configuration
// generation and is rebuilt when the generation changes.
type credentials struct{ index atomic.Pointer[keyIndex] }

type keyIndex struct {
	generation ident.Generation
	workspaces map[string]ident.Workspace
}

func (cr *credentials) lookup(m *manifest.Manifest, g ident.Generation, hash string) (ident.Workspace, bool) {
	index := cr.index.Load()
	if index == nil || index.generation != g {
		index = newKeyIndex(m, g)
		cr.index.Store(index)
	}
	ws, ok := index.workspaces[hash]
	return ws, ok
}

func newKeyIndex(m *manifest.Manifest, g ident.Generation) *keyIndex {
	index := &keyIndex{generation: g, workspaces: map[string]ident.Workspace{}}
	for _, ws := range m.Workspaces {
		for _, h := range ws.KeyHashes {
			index.workspaces[h] = ws.Name
		}
	}
	return index
}

// authenticate returns the current manifest and the caller's workspace.
func (g *Gateway) authenticate(c *echo.Context) (*manifest.Manifest, ident.Workspace, error) {
	m, err := currentManifest(g.Configuration)
	if err != nil {
		return nil, "", err
	}
	key, ok := strings.CutPrefix(c.Request().Header.Get(authorizationHeader), bearerPrefix)
	if !ok {
		return nil, "", refusal.New(refusal.Unauthenticated, "a bearer key is required")
	}
	sum := sha256.Sum256([]byte(key))
	_, generation := g.Configuration.Current()
	ws, ok := g.credentials.lookup(m, generation, hex.EncodeToString(sum[:]))
	if !ok {
		return nil, "", refusal.New(refusal.Unauthenticated, "the bearer key is of no workspace")
	}
	c.Set(workspaceKey, ws)
	return m, ws, nil
}

func currentManifest(c view.Config) (*manifest.Manifest, error) {
	m, _ := c.Current()
	if m == nil {
		return nil, refusal.New(refusal.NotReady, "no configuration is in force here yet").After(notReadyRetryAfter)
	}
	return m, nil
}
