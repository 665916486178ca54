package config

import (
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
)

// StoreSource denotes the key-value service as the source of an announcement or a fetch. Every
// other source is a peer's address.
const StoreSource = ""

const (
	// fetchTimeout is the time after which a fetch counts as unanswered.
	fetchTimeout = 2 * time.Second
	// fetchRetryDelay is the delay before the next source is asked after a source has answered
	// without all of the sections.
	fetchRetryDelay = 200 * time.Millisecond
	// startupHeadWait is how long a daemon without a configuration in force waits for further
	// announcements after the first one, if the key-value service has not announced one. After
	// that, the highest generation that a peer has announced comes into force.
	startupHeadWait = time.Second
	// maxSources bounds the number of peers remembered as having the wanted generation.
	maxSources = 8
)

// Effect is an action that the driver of a Follower must carry out: *Fetch, *Activate or
// *Reject.
type Effect interface{ effect() }

// Fetch asks for sections by hash. The driver calls Supply with the answer. If it doesn't,
// Tick asks the next source after fetchTimeout.
type Fetch struct {
	Source string
	Hashes []manifest.Hash
}

// Activate says that a higher generation is in force from now on.
type Activate struct {
	Head     Accepted
	Manifest *manifest.Manifest
}

// Reject says that this version of the program can't read an accepted configuration; the
// lower generation stays in force.
type Reject struct {
	Head Accepted
	Err  error
}

func (*Fetch) effect()    {}
func (*Activate) effect() {}
func (*Reject) effect()   {}

// Follower brings accepted configurations into force in one daemon. Within a process the
// generation in force never decreases; a new process starts with the highest generation
// that the key-value service or a peer announces. It is not safe for concurrent use.
type Follower struct {
	inForce  Accepted
	manifest *manifest.Manifest
	// wanted is the accepted configuration whose sections are being fetched.
	wanted Accepted
	// rejectedGeneration is the latest accepted generation that this program version can't read;
	// zero if there is none.
	rejectedGeneration ident.Generation
	sections           map[manifest.Hash][]byte

	// wantedSources are the peers' addresses and StoreSource, as far as they have announced the
	// wanted generation. sourceIndex counts the fetches from them; the next source is chosen by it.
	wantedSources []string
	sourceIndex   int
	lastFetchAt   time.Time
	// lastFetchFromStore says that the last fetch went to the key-value service, not to a peer.
	lastFetchFromStore bool

	// firstHeadAt is when the first head arrived. storeHeadSeen is set once a head has
	// arrived from the key-value service.
	firstHeadAt   time.Time
	storeHeadSeen bool
}

// NewFollower returns a Follower without a configuration in force.
func NewFollower() *Follower {
	return &Follower{sections: map[manifest.Hash][]byte{}}
}

// InForce returns the configuration in force. Before there is one, the manifest is nil and
// the generation zero.
func (f *Follower) InForce() (Accepted, *manifest.Manifest) { return f.inForce, f.manifest }

// Learn processes an accepted configuration announced by the key-value service or a peer.
// It ignores generations that are not higher than the one in force. A delayed answer, a peer
// that was paused, or a key-value service restored from an older state can announce such a
// generation, and the daemon must not return to it.
func (f *Follower) Learn(now time.Time, head Accepted, source string) []Effect {
	f.recordHead(now, head, source)
	if head.Generation <= f.inForce.Generation || head.Generation <= f.rejectedGeneration {
		return nil
	}
	switch {
	case head.Generation < f.wanted.Generation:
		return nil
	case head.Generation == f.wanted.Generation:
		f.addSource(source)
		if f.lastFetchFromStore && source != StoreSource {
			return f.fetch(now, source)
		}
		return f.Tick(now)
	}
	f.setWanted(head)
	f.addSource(source)
	return f.advance(now)
}

func (f *Follower) recordHead(now time.Time, head Accepted, source string) {
	if head.Generation == 0 {
		return
	}
	f.storeHeadSeen = f.storeHeadSeen || source == StoreSource
	if f.firstHeadAt.IsZero() {
		f.firstHeadAt = now
	}
}

// starting reports whether the daemon should wait for a higher generation. After a restart
// during an outage of the key-value service, the first peer to answer may not have the newest
// generation yet. Without the wait, a daemon that had the newest generation in force before
// its restart would bring an older one into force.
func (f *Follower) starting(now time.Time) bool {
	return f.manifest == nil && !f.storeHeadSeen && now.Sub(f.firstHeadAt) < startupHeadWait
}

func (f *Follower) setWanted(head Accepted) {
	f.wanted = head
	f.wantedSources = nil
	f.sourceIndex = 0
	f.lastFetchAt = time.Time{}
	f.lastFetchFromStore = false
}

// Adopt combines Learn and Supply for the daemon that submitted the configuration: it has the
// sections already and need not fetch them.
func (f *Follower) Adopt(now time.Time, head Accepted, sections map[manifest.Hash][]byte) []Effect {
	f.recordHead(now, head, StoreSource)
	known := max(f.inForce.Generation, f.rejectedGeneration)
	if head.Generation <= known || head.Generation < f.wanted.Generation {
		return nil
	}
	if head.Generation > f.wanted.Generation {
		f.setWanted(head)
	}
	return f.Supply(now, sections)
}

func (f *Follower) addSource(source string) {
	for _, known := range f.wantedSources {
		if known == source {
			return
		}
	}
	if len(f.wantedSources) < maxSources {
		f.wantedSources = append(f.wantedSources, source)
	}
}

// Supply processes the answer to a fetch; nil means that the fetch failed. Sections that are
// not wanted or don't match their hash are dropped.
func (f *Follower) Supply(now time.Time, fetched map[manifest.Hash][]byte) []Effect {
	for _, hash := range f.wanted.Sections {
		data, ok := fetched[hash]
		if ok && manifest.HashOf(data) == hash {
			f.sections[hash] = data
		}
	}
	f.lastFetchAt = now.Add(fetchRetryDelay - fetchTimeout)
	return f.advance(now)
}

// Tick asks the next source if the last one has not answered in time. The sources include the
// key-value service and peers in turn, so neither an outage of the service nor the end of a
// peer stops the fetch.
func (f *Follower) Tick(now time.Time) []Effect {
	if f.wanted.Generation <= f.inForce.Generation {
		return nil
	}
	return f.advance(now)
}

func (f *Follower) advance(now time.Time) []Effect {
	if f.wanted.Generation <= f.inForce.Generation {
		return nil
	}
	missing := manifest.Missing(f.wanted.Sections, f.sections)
	if len(missing) == 0 {
		if f.starting(now) {
			return nil
		}
		return f.activate()
	}
	if now.Sub(f.lastFetchAt) < fetchTimeout {
		return nil
	}
	return f.fetch(now, f.nextSource())
}

// fetch requests the missing sections from one source. Learn calls it at once for a peer that
// announces the wanted generation while only the key-value service has been asked: the service
// may be slow, and the peer has the sections.
func (f *Follower) fetch(now time.Time, source string) []Effect {
	f.lastFetchAt = now
	f.lastFetchFromStore = source == StoreSource
	return []Effect{&Fetch{Source: source, Hashes: manifest.Missing(f.wanted.Sections, f.sections)}}
}

func (f *Follower) nextSource() string {
	candidates := f.wantedSources
	if f.sourceIndex > 0 || len(candidates) == 0 {
		candidates = append([]string{StoreSource}, f.wantedSources...)
	}
	source := candidates[f.sourceIndex%len(candidates)]
	f.sourceIndex++
	return source
}

func (f *Follower) activate() []Effect {
	head := f.wanted
	m, err := manifest.Join(head.Sections, f.sections)
	if err != nil {
		f.rejectedGeneration = head.Generation
		f.wanted = Accepted{}
		f.prune()
		return []Effect{&Reject{Head: head, Err: err}}
	}
	f.inForce = head
	f.manifest = m
	f.wanted = Accepted{}
	f.prune()
	return []Effect{&Activate{Head: head, Manifest: m}}
}

// prune drops the sections that are not part of the configuration in force.
func (f *Follower) prune() {
	keep := map[manifest.Hash]bool{}
	for _, hash := range f.inForce.Sections {
		keep[hash] = true
	}
	for hash := range f.sections {
		if !keep[hash] {
			delete(f.sections, hash)
		}
	}
}

// Sections returns those of the requested sections that this daemon has, to answer a peer's
// fetch.
func (f *Follower) Sections(hashes []manifest.Hash) map[manifest.Hash][]byte {
	found := map[manifest.Hash][]byte{}
	for _, hash := range hashes {
		if data, ok := f.sections[hash]; ok {
			found[hash] = data
		}
	}
	return found
}
