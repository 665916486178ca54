package route_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"geraniumstack.org/geraniumstack/state/route"
)

func testTable() *route.Table {
	return route.NewTable(route.Config{
		Version: 3,
		Routes: []route.Route{
			{Name: "all", Host: "a.example", PathPrefix: "/"},
			{Name: "drafts", Host: "a.example", PathPrefix: "/drafts/"},
			{Name: "long", Host: "a.example", PathPrefix: "/drafts/long/", Public: true},
			{Name: "other", Host: "b.example", PathPrefix: "/x/"},
		},
		Workspaces: []route.Workspace{{Name: "w", Keys: []string{"k1", "k2"}}},
	})
}

func TestLookupTakesLongestPrefix(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/drafts/long/1", "long"},
		{"a.example", "/drafts/longer", "drafts"},
		{"A.Example:8080", "/drafts/1", "drafts"},
		{"a.example", "/", "all"},
		{"b.example", "/x", ""},
		{"c.example", "/x/", ""},
	} {
		r, ok := testTable().Lookup(c.host, c.path)
		is.Equal(ok, c.want != "")
		if ok {
			is.Equal(r.Name, c.want)
		}
	}
}

func TestKeys(t *testing.T) {
	is := is.New(t)
	tab := testTable()
	w, ok := tab.WorkspaceOf("k2")
	is.True(ok)
	is.Equal(string(w.Name), "w")
	_, ok = tab.WorkspaceOf("")
	is.True(!ok)
	public, _ := tab.Lookup("a.example", "/drafts/long/")
	keyed, _ := tab.Lookup("a.example", "/drafts/")
	is.True(!tab.KeyRequired(public, ""))
	is.True(tab.KeyRequired(keyed, ""))
}

// Each target must get requests in proportion to its weight, and a target of
// weight zero none.
func TestPickFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 4).Draw(t, "weights")
		r := route.Route{}
		total := 0
		for i, w := range weights {
			r.Targets = append(r.Targets, route.Target{Service: string(rune('a' + i)), Weight: w})
			total += w
		}
		if total == 0 {
			return
		}
		counts := map[string]int{}
		for i := range total {
			counts[r.Pick((float64(i)+0.5)/float64(total))]++
		}
		for _, target := range r.Targets {
			if counts[target.Service] != target.Weight {
				t.Fatalf("target %s got %d requests, want %d", target.Service, counts[target.Service], target.Weight)
			}
		}
	})
}

// Guards against requests that an entry with a missing field lets in: one without a key, or to a path that no prefix begins.
func TestIncompleteEntriesLetNothingIn(t *testing.T) {
	is := is.New(t)
	tab := route.NewTable(route.Config{
		Routes:     []route.Route{{Name: "no prefix", Host: "a.example"}, {Name: "no host", PathPrefix: "/"}},
		Workspaces: []route.Workspace{{Name: "w", Keys: []string{""}}, {Keys: []string{"k1"}}},
	})
	for _, key := range []string{"", "k1"} {
		_, ok := tab.WorkspaceOf(key)
		is.True(!ok)
	}
	for _, host := range []string{"a.example", "", ":80"} {
		_, ok := tab.Lookup(host, "/draft/1")
		is.True(!ok)
	}
}
