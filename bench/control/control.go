// Package control measures what the control side of one daemon costs in a fleet
// of a given size: two daemons on loopback exchange heartbeats over real
// connections, their tables filled with the rest of the fleet.
package control

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/rcrowley/go-metrics"

	"geraniumstack.org/geraniumstack/bench"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/control"
	meshv1 "geraniumstack.org/geraniumstack/gen/geranium/mesh/v1"
	"geraniumstack.org/geraniumstack/gen/geranium/mesh/v1/meshv1connect"
	"geraniumstack.org/geraniumstack/standin/kvserver"
	"geraniumstack.org/geraniumstack/state/ident"
)

// Experiment is the measurement named "control".
type Experiment struct {
	// Exchanges is how many heartbeats are measured; zero is DefaultExchanges.
	Exchanges int
}

var _ bench.Experiment = Experiment{}

// DefaultExchanges keeps a run to a few seconds.
const DefaultExchanges = 4000

const (
	domainCount = 8
	// runnersPerDaemon is that of the target: 10,000 beside 1,800.
	runnersPerDaemon = 10000.0 / 1800
	// tcpIPBytes is the headers of a request's and an answer's packet and of
	// their acknowledgements, as TCP over IPv4 with timestamps has them.
	tcpIPBytes = 4 * 52
	// fillChunk is how many records one filling message has.
	fillChunk  = 500
	ticks      = 50
	warmUp     = 50
	ageOfFacts = 1000
	// changeShare makes fewer exchanges with news than without.
	changeShare = 10
	connections = 200
)

// Name is "control".
func (Experiment) Name() string { return "control" }

// Synopsis is one line for the command's help.
func (Experiment) Synopsis() string {
	return "bytes, processor time and memory of a daemon's control side at several fleet sizes"
}

// Run measures one arm a size.
func (e Experiment) Run(ctx context.Context, o bench.Options) (bench.Report, error) {
	exchanges := e.Exchanges
	if exchanges == 0 {
		exchanges = DefaultExchanges
	}
	report := bench.Report{Experiment: e.Name(), Seeds: o.Seeds, Notes: []string{
		"bytes_per_exchange: request and answer on the wire of one heartbeat without news, with estimated TCP/IP headers.",
		"cpu_us_per_exchange: processor time of both ends together.",
		"table_mb: heap that the fleet's records take in one daemon. join_bytes: a whole table as one peer sends it.",
		"cpu_us_per_change: the same with news of one daemon in it, which ranks the links and lists the daemons anew.",
		"connection_kb: heap and stacks of one open connection, both ends together.",
		"tick_us: one look at all records, once a second.",
		"gateways_us: one answer to which entry VMs to use.",
	}}
	for _, members := range []int{5, 200, 1800} {
		name := fmt.Sprintf("members_%d", members)
		if !o.Wants(name) {
			continue
		}
		fmt.Fprintf(o.Progress, "control: %d members\n", members)
		figures, err := measure(ctx, members, exchanges)
		if err != nil {
			return bench.Report{}, err
		}
		report.Arms = append(report.Arms, bench.Arm{Name: name, Figures: figures})
	}
	return report, nil
}

// countingListener counts the bytes of all its connections.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, &l.bytes}, nil
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// rig is a daemon on loopback and a client that plays its peer.
type rig struct {
	listener *countingListener
	server   *http.Server
	store    *kvserver.Store
	daemon   *control.Control
	client   meshv1connect.MeshServiceClient
	peer     *meshv1.Daemon
	last     *meshv1.Exchange
}

func newRig() (*rig, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	r := &rig{listener: &countingListener{Listener: listener}, store: kvserver.New()}
	address := listener.Addr().String()
	r.daemon = control.New(control.Config{
		Self: view.Daemon{
			ID: "entry-0", Incarnation: ident.NewIncarnation("entry-0", make([]byte, 8)),
			FailureDomain: "domain-0", CallerAddress: "10.0.0.1:8000", PeerAddress: address,
		},
		Store: r.store, Metrics: metrics.NewRegistry(),
	})
	mux := http.NewServeMux()
	mux.Handle(r.daemon.Handler())
	r.server = &http.Server{Handler: mux}
	go func() { _ = r.server.Serve(r.listener) }()
	r.client = meshv1connect.NewMeshServiceClient(http.DefaultClient, "http://"+address)
	r.peer = fakeDaemon(1)
	return r, nil
}

func (r *rig) close() {
	_ = r.server.Close()
	r.store.Close()
}

func fakeDaemon(i int) *meshv1.Daemon {
	id := ident.DaemonID("entry-" + strconv.Itoa(i))
	host := fmt.Sprintf("10.%d.%d.%d", i>>16&255, i>>8&255, i&255)
	return &meshv1.Daemon{
		Id: string(id), Incarnation: string(ident.NewIncarnation(id, []byte(fmt.Sprintf("%08d", i)))),
		FailureDomain: fmt.Sprintf("domain-%d", i%domainCount), CallerAddress: host + ":8000",
		PeerAddress: host + ":7000", State: string(view.Live), Version: 1, AgeMs: ageOfFacts,
		GenerationInForce: 7, Vm: "vm-" + strconv.Itoa(i),
	}
}

func fakeVM(i int) *meshv1.VM {
	return &meshv1.VM{
		Id: "runner-" + strconv.Itoa(i), Address: fmt.Sprintf("10.200.%d.%d:9000", i>>8&255, i&255),
		FailureDomain: fmt.Sprintf("domain-%d", i%domainCount), Class: "accelerator-reclaimable",
		Reclaimable: true, PricePerHour: 1.1, Service: "asistente", State: 1, AgeMs: ageOfFacts,
	}
}

// exchange calls the daemon as its peer and keeps the positions of both logs.
func (r *rig) exchange(ctx context.Context, x *meshv1.Exchange) error {
	x.From = r.peer
	if r.last != nil {
		x.Ack = r.last.GetSeq()
		x.Digest = r.last.GetDigest()
	}
	x.InForce = map[string]uint64{}
	for i := range domainCount {
		x.InForce[fmt.Sprintf("domain-%d", i)] = 7
	}
	response, err := r.client.Heartbeat(ctx, connect.NewRequest(&meshv1.HeartbeatRequest{Exchange: x}))
	if err != nil {
		return fmt.Errorf("heartbeat: %w", err)
	}
	r.last = response.Msg.GetExchange()
	return nil
}

// fill tells the daemon of the rest of the fleet.
func (r *rig) fill(ctx context.Context, members int) error {
	x := &meshv1.Exchange{}
	flush := func() error {
		if len(x.Daemons)+len(x.Vms) < fillChunk {
			return nil
		}
		full := x
		x = &meshv1.Exchange{}
		return r.exchange(ctx, full)
	}
	for i := 2; i < members; i++ {
		x.Daemons = append(x.Daemons, fakeDaemon(i))
		if err := flush(); err != nil {
			return err
		}
	}
	for i := range int(runnersPerDaemon * float64(members)) {
		x.Vms = append(x.Vms, fakeVM(i))
		if err := flush(); err != nil {
			return err
		}
	}
	return r.exchange(ctx, x)
}

func measure(ctx context.Context, members, exchanges int) (map[string]float64, error) {
	r, err := newRig()
	if err != nil {
		return nil, err
	}
	defer r.close()
	before := heap()
	if err := r.fill(ctx, members); err != nil {
		return nil, err
	}
	figures := map[string]float64{"table_mb": (heap() - before) / (1 << 20)}
	if err := r.repeat(ctx, warmUp); err != nil {
		return nil, err
	}
	bytes, cpu := r.listener.bytes.Load(), processorTime()
	if err := r.repeat(ctx, exchanges); err != nil {
		return nil, err
	}
	n := float64(exchanges)
	figures["bytes_per_exchange"] = float64(r.listener.bytes.Load()-bytes)/n + tcpIPBytes
	figures["cpu_us_per_exchange"] = float64((processorTime() - cpu).Microseconds()) / n
	if figures["cpu_us_per_change"], err = r.changes(ctx, exchanges/changeShare); err != nil {
		return nil, err
	}
	if figures["connection_kb"], err = r.connections(ctx); err != nil {
		return nil, err
	}
	figures["gateways_us"] = r.gateways()
	figures["tick_us"] = tick(members)
	joined, err := r.join(ctx, members)
	if err != nil {
		return nil, err
	}
	figures["join_bytes"] = joined
	return figures, nil
}

func (r *rig) repeat(ctx context.Context, n int) error {
	for range n {
		if err := r.exchange(ctx, &meshv1.Exchange{}); err != nil {
			return err
		}
	}
	return nil
}

// join plays a new peer that gets the whole table and returns its bytes.
func (r *rig) join(ctx context.Context, members int) (float64, error) {
	r.peer = fakeDaemon(members + 1)
	r.last = nil
	before := r.listener.bytes.Load()
	for {
		if err := r.exchange(ctx, &meshv1.Exchange{}); err != nil {
			return 0, err
		}
		if len(r.last.GetDaemons())+len(r.last.GetVms()) == 0 {
			return float64(r.listener.bytes.Load() - before), nil
		}
		// The new peer's own table differs until it has everything.
		r.last.Digest++
	}
}

// heap is what lives, stacks included.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// processorTime is that of the whole process; zero where it can't be read.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
