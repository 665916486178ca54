package settings_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/daemon/settings"
	"geraniumstack.org/geraniumstack/state/document"
)

const validSettings = `{"id":"a","failure_domain":"lima-norte",
"listen":{"callers":"127.0.0.1:0","peers":"127.0.0.1:0","admin":"127.0.0.1:0"},
"seeds":["127.0.0.1:7001"],
"platform":{"key_value":"http://127.0.0.1:1","vm_list":"http://127.0.0.1:2","cloud":"http://127.0.0.1:3"}}`

func TestParseFillsDefaults(t *testing.T) {
	is := is.New(t)
	s, err := settings.Parse([]byte(validSettings))
	is.NoErr(err)
	is.Equal(settings.Millis(s.Limits.GatewaysLifetimeMillis), settings.DefaultGatewaysLifetime)
	is.Equal(s.Limits.MaxBodyBytes, int64(settings.DefaultMaxBodyBytes))
	is.Equal(s.Limits.MaxTokenOwners, settings.DefaultMaxTokenOwners)
}

// All mistakes in a settings file must be reported in the first run, because
// each further run is a VM that does not start.
func TestParseReportsAllProblemsAtOnce(t *testing.T) {
	tests := []struct {
		name, doc string
		paths     []string
	}{
		{"structure", `{"id":7,"failure_domain":"","listen":{"callers":"x"},"seeds":[],"platform":{},"extra":1}`,
			[]string{"", "/failure_domain", "/id", "/listen", "/platform"}},
		{"meaning", `{"id":"a","failure_domain":"d","listen":{"callers":"127.0.0.1:9","peers":"127.0.0.1:9","admin":"localhost:8"},
"seeds":["peer:1"],"platform":{"key_value":"ftp://127.0.0.1","vm_list":"http://list","cloud":"http://127.0.0.1:3"}}`,
			[]string{"/listen/admin", "/seeds/0", "/platform/key_value", "/platform/vm_list", "/listen/peers"}},
		{"too few owners", strings.TrimSuffix(validSettings, "}") + `,"limits":{"max_token_owners":-1}}`,
			[]string{"/limits/max_token_owners"}},
		{"too many owners", strings.TrimSuffix(validSettings, "}") + `,"limits":{"max_token_owners":65}}`,
			[]string{"/limits/max_token_owners"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := settings.Parse([]byte(tt.doc))
			var invalid *document.InvalidError
			is.True(errors.As(err, &invalid))
			paths := []string{}
			for _, p := range invalid.Problems {
				paths = append(paths, p.Path)
			}
			is.Equal(paths, tt.paths)
		})
	}
}
