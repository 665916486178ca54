// Package crowd has no code of its own. Its tests start the daemon as a process and send it crowds of callers that
// don't behave: bodies that stay unfinished, heads without end, connections without a request. They check that the
// process lives, that its memory and its descriptors stay within its settings, and that an ordinary request is answered
// while the crowd stays and after it. Nothing that they check depends on the speed of the machine. They run one after
// the other, apart from other tests.
package crowd
