package dispatch

import (
	"sync"
	"time"

	"almondturn/fleet"
)

// staleKey identifies one replica on one target.
type staleKey struct {
	target  fleet.TargetID
	replica fleet.ReplicaKey
}

// staleMark says that the report of that number still calls a replica
// loaded that the target has refused as not loaded.
type staleMark struct {
	report uint64
	until  time.Time
}

// staleTable holds what targets have said against their last reports. The
// zero value is empty.
type staleTable struct {
	marks sync.Map // staleKey to staleMark
}

// mark discards the report's word on the replica until a newer report comes,
// or for the given time.
func (s *staleTable) mark(k staleKey, report uint64, until time.Time) {
	s.marks.Store(k, staleMark{report: report, until: until})
}

// clear takes the report's word again, after a load.
func (s *staleTable) clear(k staleKey) { s.marks.Delete(k) }

// active tells whether the report's word on the replica is discarded.
func (s *staleTable) active(k staleKey, report uint64, now time.Time) bool {
	m, ok := s.marks.Load(k)
	if !ok {
		return false
	}
	if mark := m.(staleMark); report <= mark.report && now.Before(mark.until) {
		return true
	}
	s.marks.Delete(k)
	return false
}
