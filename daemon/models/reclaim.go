package models

import (
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/protocol/request"
	"geraniumstack.org/geraniumstack/state/ident"
)

// reclaim tells the requests at runners that are newly leaving.
func (m *Models) reclaim() {
	lives := m.inProgress()
	leaving := map[ident.RunnerID]bool{}
	seen := map[string]bool{}
	for _, l := range lives {
		if seen[l.service] {
			continue
		}
		seen[l.service] = true
		for _, r := range m.c.Directory.Runners(l.service) {
			if r.State == view.Leaving {
				leaving[r.ID] = true
			}
		}
	}
	for _, l := range lives {
		l.mu.Lock()
		runner := l.machine.Runner()
		l.mu.Unlock()
		if leaving[runner] {
			l.step(request.RunnerLeaving{Runner: runner})
		}
	}
}

func (m *Models) inProgress() []*live {
	m.mu.Lock()
	defer m.mu.Unlock()
	var lives []*live
	for _, l := range m.live {
		if l.inProgress() {
			lives = append(lives, l)
		}
	}
	return lives
}

func (l *live) inProgress() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended.IsZero()
}
