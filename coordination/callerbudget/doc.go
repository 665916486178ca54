// Package callerbudget bounds what all callers of one process hold together: the bytes of their requests, and their
// connections. Each caller may stay within the limits on a single request and a crowd of them still take all memory and
// all descriptors of the process.
//
// To refuse whoever comes last would leave the service to a crowd that came first and stays. So when a budget is full,
// those are ended that have held most of it for longest without giving the process anything to do:
//
//   - Of the requests that are still being read, the one with the largest product of bytes and time. Requests that have
//     been read whole are not ended, since they get an answer, unless their callers don't read it. What they hold may
//     leave no room for others, so a part of the budget is kept for small requests, and no workspace gets more than a
//     share for its large ones.
//   - Of the connections that have waited for a while, the one that has waited longest: first of those that have never
//     brought a request or whose header isn't complete, then of those between two requests, then of those whose body is
//     being read. A connection whose request is being answered is never ended.
//
// The package does no I/O and reads no clock: times are offsets of a monotonic clock. Its types are not safe for
// concurrent use.
package callerbudget

import "time"

// patience is the time that a caller has to get on before it counts as one that waits, or that doesn't read its answer.
const patience = time.Second

// ID identifies a request or a connection within one process.
type ID uint64
