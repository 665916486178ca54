package runnerspeed

import (
	"math"
	"time"
)

const (
	// Runners with a factor under slowBand, over fastBand and between have a risk of their own each.
	slowBand, fastBand = 0.85, 1.15
	// priorStreams is the weight of the initial risk of zero. riskMemory is the time constant with which
	// streams are forgotten.
	priorStreams = 20
	riskMemory   = 30 * time.Second
)

// PauseRisk learns the share of streams that pause for too long, separately for slow, fast and other
// runners. The zero value knows no streams.
type PauseRisk struct{ bands [3]bandRisk }

// bandRisk counts the streams of one band, with exponential decay.
type bandRisk struct {
	streams, tooLong float64
	updatedAt        time.Duration
}

func (p *PauseRisk) band(factor float64) *bandRisk {
	switch {
	case factor < slowBand:
		return &p.bands[0]
	case factor > fastBand:
		return &p.bands[2]
	}
	return &p.bands[1]
}

func (b *bandRisk) decay(now time.Duration) {
	if now <= b.updatedAt {
		return
	}
	keep := math.Exp(-(now - b.updatedAt).Seconds() / riskMemory.Seconds())
	b.streams, b.tooLong, b.updatedAt = b.streams*keep, b.tooLong*keep, now
}

// Observe records one stream at a runner with a factor.
func (p *PauseRisk) Observe(now time.Duration, factor float64, tooLong bool) {
	b := p.band(factor)
	b.decay(now)
	b.streams++
	if tooLong {
		b.tooLong++
	}
}

// Risk returns the share of streams that pause for too long at a runner with a factor.
func (p *PauseRisk) Risk(now time.Duration, factor float64) float64 {
	b := p.band(factor)
	b.decay(now)
	return b.tooLong / (b.streams + priorStreams)
}
