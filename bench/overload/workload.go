package overload

import (
	"fmt"
	"math/rand/v2"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/state/prefixhash"
)

// Classes of the workload.
const (
	urgent   = "sighting"
	review   = "review"
	bulletin = "bulletin"
)

var classes = []manifest.Class{
	{Name: urgent, Priority: 100, TTFTMillis: 580, TBTMillis: 80},
	{Name: review, Priority: 50, TTFTMillis: 5000, TBTMillis: 160},
	{Name: bulletin, Priority: 10, TTFTMillis: 60000, TBTMillis: 320, Deferrable: true},
}

// kind describes the requests of a class.
type kind struct {
	class string
	// share is the fraction of all requests.
	share float64
	// Prompt lengths in blocks: shared is common to all requests of a workspace and
	// class, file is common to the requests for one case file, and own is unique to
	// the request.
	shared, file, own int
	output            int
}

var kinds = []kind{
	{class: urgent, share: 0.5, shared: 8, file: 0, own: 8, output: 60},
	{class: review, share: 0.3, shared: 8, file: 100, own: 48, output: 400},
	{class: bulletin, share: 0.2, shared: 8, file: 130, own: 48, output: 800},
}

// caseFiles is the number of case files per workspace.
const caseFiles = 40

func (k *kind) promptTokens() int { return (k.shared + k.file + k.own) * prefixhash.BlockTokens }

// tenant is a workspace and its fraction of the load.
type tenant struct {
	manifest.Workspace
	load float64
}

const largeShare = 0.88

// tenants returns one large workspace, which has half of the total weight and sends
// most of the load, and four small ones.
func tenants() []tenant {
	list := []tenant{{manifest.Workspace{Name: "large", Weight: 4}, largeShare}}
	for i := range 4 {
		name := ident.Workspace(fmt.Sprintf("small-%d", i+1))
		list = append(list, tenant{manifest.Workspace{Name: name, Weight: 1}, (1 - largeShare) / 4})
	}
	return list
}

// request is one arrival and its outcome.
type request struct {
	id      int
	at      time.Time
	tenant  int
	kind    *kind
	gateway int
	blocks  []uint64
	output  int

	admitted time.Time
	refused  time.Time
	first    time.Time
	done     time.Time
	tokens   int
	cached   int
	engine   int
}

func (r *request) promptTokens() int { return len(r.blocks) * prefixhash.BlockTokens }

// cost is the engine time that a request takes, in seconds, if none of its prompt is
// cached and the batch is full.
func (k *kind) cost() float64 {
	return float64(k.output)/batch*step.Seconds() + float64(k.promptTokens())/prefillRate
}

// capacity is the number of requests per second that the engines can serve.
func capacity() float64 {
	mean := 0.0
	for i := range kinds {
		mean += kinds[i].share * kinds[i].cost()
	}
	return engines / mean
}

// arrivals draws Poisson arrivals at a multiple of the capacity.
func arrivals(seed uint64, multiple float64, load time.Duration) []*request {
	rng := rand.New(rand.NewPCG(seed, 7))
	list := tenants()
	perSecond := multiple * capacity()
	var all []*request
	for at := 0.0; ; {
		at += rng.ExpFloat64() / perSecond
		if at >= load.Seconds() {
			return all
		}
		r := &request{
			id:      len(all),
			at:      epoch.Add(time.Duration(at * float64(time.Second))),
			tenant:  drawTenant(rng, list),
			kind:    drawKind(rng),
			gateway: rng.IntN(gateways),
			engine:  -1,
		}
		r.output = max(1, int(float64(r.kind.output)*(0.5+rng.Float64())))
		r.blocks = blocks(r, rng.IntN(caseFiles))
		all = append(all, r)
	}
}

func drawTenant(rng *rand.Rand, list []tenant) int {
	x := rng.Float64()
	for i := range list {
		if x -= list[i].load; x < 0 {
			return i
		}
	}
	return len(list) - 1
}

func drawKind(rng *rand.Rand) *kind {
	x := rng.Float64()
	for i := range kinds {
		if x -= kinds[i].share; x < 0 {
			return &kinds[i]
		}
	}
	return &kinds[len(kinds)-1]
}

// blocks returns hashes of the prompt's blocks without creating any text.
func blocks(r *request, file int) []uint64 {
	k := r.kind
	hash := prefixhash.Root(model, fmt.Sprint(r.tenant, k.class))
	chain := make([]uint64, 0, k.shared+k.file+k.own)
	add := func(n int, name string) {
		for i := range n {
			hash = prefixhash.Next(hash, []string{name, fmt.Sprint(i)})
			chain = append(chain, hash)
		}
	}
	add(k.shared, "shared")
	add(k.file, fmt.Sprint("file", file))
	add(k.own, fmt.Sprint("own", r.id))
	return chain
}
