// Package canary decides on the rollout of a new software version of a service: it moves the
// service's requests from the runners of the current version to runners of the version that an
// operator has ordered, or rolls the order back.
//
// One daemon, the holder, decides on an order. It grants allowances to the daemons, compares
// the answers of the two versions and writes the verdict into a Record in the key-value
// service. Each daemon has a Gate per order and sends a request to the new version only if an
// allowance permits it.
//
// Terms of this package:
//
//   - An order is an operator's request to move a service to a version. Package rollout and
//     package lease use the word for a command to a runner.
//   - The old and the new version are the current one and the one that was ordered. Old and new
//     runners execute the respective version.
//   - A trial request is a request that an allowance admits to the new version before the verdict.
//   - A ceiling is the most requests that one daemon may send to the new version in total.
//   - The placement of a request is the set of runners, by version, that the request may go to.
//   - The favoured route is the route with the fewest answers of the new version. It gets a
//     higher fraction of trial requests, so that no route stays untested.
//   - A share is a fraction from 0 to 1.
//
// The number of requests that a bad version gets stays bounded under failures:
//
//   - A daemon that hears nothing from the others sends nothing to the new version. An
//     allowance is a ceiling on the total that the daemon ever sends there, so lost, late or
//     repeated messages change nothing. It expires a short time after it was asked for.
//   - The holder writes down how much it may grant before it grants it. A new holder counts
//     all of that as used, so the two holders together stay within the bound.
//   - A verdict is written by compare-and-swap on the record and is final. After it no
//     allowance is granted, and those in force expire.
//
// A daemon that can't learn of a verdict uses the old runners as long as it finds any.
//
// This package handles the version of the software that runners execute. The versions of the
// model weights that runners load are handled by package rollout.
//
// The package does no I/O and reads no clock. Its types are not safe for concurrent use.
package canary
