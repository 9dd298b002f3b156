package kv

import "fmt"

// Era counts the restores of the service from an older copy: it rises by one with
// each. Changes that were made after the copy are lost then, and the service's
// counter of changes goes back and counts the same numbers again. An Era of 0
// belongs to a service that does not report eras.
type Era uint64

// FirstEra is the era of a service that was never restored.
const FirstEra Era = 1

// Revision is a state of the service: its era, and its counter of changes, which
// increases with every change to any key. Revisions are compared as numbers: every
// revision of an era is higher than all of former ones. They are at most 53 bits
// long, so that JSON decoders that use floating-point numbers preserve them.
type Revision uint64

// Sizes of the parts of a Revision, in bits. 40 bits hold the changes of decades at
// 1,000 changes a second.
const (
	counterBits = 40
	eraBits     = 13
)

// Highest values of the parts of a Revision.
const (
	MaxCounter = 1<<counterBits - 1
	MaxEra     = Era(1<<eraBits - 1)
)

// NewRevision returns the revision for a counter of the service in an era. It
// returns an error if one of them exceeds MaxCounter or MaxEra.
func NewRevision(era Era, counter uint64) (Revision, error) {
	if era > MaxEra || counter > MaxCounter {
		return 0, fmt.Errorf("revision %d of era %d exceeds %d of era %d", counter, era, uint64(MaxCounter), MaxEra)
	}
	return Revision(uint64(era)<<counterBits | counter), nil
}

// Era returns the era of the revision.
func (r Revision) Era() Era { return Era(r >> counterBits) }

// Counter returns the service's counter at the revision.
func (r Revision) Counter() uint64 { return uint64(r) & MaxCounter }

// InEra returns the revision with the same counter in another era, which must not
// exceed MaxEra.
func (r Revision) InEra(era Era) Revision { return Revision(uint64(era)<<counterBits | r.Counter()) }

// LeaseID identifies a lease granted by the service. The service may grant an
// identifier of a former era again.
type LeaseID struct {
	Era Era
	ID  uint64
}

// Response is the service's response to a call, as nodes relay it to each other.
type Response struct {
	// Status is the HTTP status, 0 if the call was not made.
	Status int
	Body   []byte
	// Era is the era in which the call was executed.
	Era Era
}
