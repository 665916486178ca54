package callerbudget

import "math"

const (
	// DefaultMemoryBytes and DefaultDescriptors are assumed of a process whose settings state no limits.
	DefaultMemoryBytes = 256 << 20
	DefaultDescriptors = 4096
	// FileDescriptors are the descriptors that are left to files and to the runtime.
	FileDescriptors = 200

	// bytesFraction is the part of the memory that requests may take while they are read and until they are answered.
	// The rest is for what the process itself needs, for its connections, for answers, and for garbage that hasn't been
	// collected yet.
	bytesFraction = 1.0 / 6
	// connectionBytesFraction is the part of the memory that callers' connections may take without their requests, at
	// connectionBytes each.
	connectionBytesFraction = 1.0 / 16
	connectionBytes         = 12 << 10

	// Parts of the descriptors. A caller's connection may need another one to a runner.
	callersFraction   = 0.4
	directoryFraction = 0.04
	peersFraction     = 0.04
	checksFraction    = 0.02
	// leastConnections is the smallest number of connections at any address.
	leastConnections = 2
)

// Limits are the sizes of the budgets of one process.
type Limits struct {
	// Bytes is what the requests of all callers may hold together.
	Bytes int64
	// Callers, Directory and Peers are the numbers of connections at the addresses for requests, for callers that ask
	// which daemons there are, and for other daemons. Checks is the number at each address for checks and metrics.
	Callers, Directory, Peers, Checks int
}

// LimitsOf returns the limits of a process that may take a number of bytes of memory and of descriptors; zero stands for
// the defaults.
func LimitsOf(memoryBytes int64, descriptors int) Limits {
	if memoryBytes <= 0 {
		memoryBytes = DefaultMemoryBytes
	}
	if descriptors <= 0 {
		descriptors = DefaultDescriptors
	}
	sockets := float64(descriptors - FileDescriptors)
	part := func(fraction float64) int { return max(leastConnections, int(math.Round(fraction*sockets))) }
	inMemory := int(connectionBytesFraction * float64(memoryBytes) / connectionBytes)
	return Limits{
		Bytes:     int64(bytesFraction * float64(memoryBytes)),
		Callers:   max(leastConnections, min(part(callersFraction), inMemory)),
		Directory: part(directoryFraction),
		Peers:     part(peersFraction),
		Checks:    part(checksFraction),
	}
}
