package edge

import (
	"sync/atomic"

	delegationv1 "geraniumstack.org/geraniumstack/gen/geranium/delegation/v1"
)

// This file lets a daemon that has delegated a request know to how many runners its helper has sent it, also if the call
// breaks: the helper tells before each send. Otherwise each further helper would try as many runners again as the route allows.

// helperSends is what a helper has told of its sends of a request.
type helperSends struct {
	// told is the number of runners to which the request has been sent by the helper's latest word, those before the
	// call included; zero if it has told nothing. It may be read while the answer is.
	told atomic.Uint32
	// before is the number of runners before the call, and counted that of the helper's that the exchange counts.
	before  uint32
	counted int
}

// tellAttempt tells the daemon that has delegated the request, if one has, that it is about to be sent to a runner.
func (s *requestHandler) tellAttempt() {
	if r, ok := s.reply.(*delegatedReply); ok && r.tellsAttempts {
		r.send(&delegationv1.ServeResponse{Attempts: uint32(s.exchange.Sent() + 1)})
	}
}

// countHelperSends counts the helper's sends that it has told of as sends of the request. It does nothing for an attempt at
// a runner.
func (a *attempt) countHelperSends() {
	sends := &a.helperSends
	if a.counted && sends.counted == 0 {
		sends.counted = 1 // as the failure of the call
	}
	made := int(sends.told.Load()) - int(sends.before)
	if a.helper == "" || made <= sends.counted {
		return
	}
	a.s.exchange.RecordSent(made - sends.counted)
	a.counted, sends.counted = true, made
}
