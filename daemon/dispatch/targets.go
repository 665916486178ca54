package dispatch

import (
	"geraniumstack.org/geraniumstack/coordination/reclaim"
	"geraniumstack.org/geraniumstack/daemon/models"
)

var _ models.CapacitySource = (*Dispatcher)(nil)

// Targets implements models.CapacitySource.
func (d *Dispatcher) Targets(service string) []reclaim.Target {
	s := d.service(service)
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Targets()
}
