package membership

import (
	"almondturn/fleet"
	"almondturn/pkg/platform"
	"almondturn/wire"
)

// Action is something that the state machine wants done.
type Action interface{ isAction() }

// ReadRosters asks for a read of all rosters; Core.Read takes the result.
type ReadRosters struct{}

// WriteRoster asks for a compare-and-swap; Core.Written takes the result.
type WriteRoster struct {
	Roster wire.Roster
	Expect platform.Revision
}

// StartWatch asks for a watch of the rosters after a revision.
type StartWatch struct{ After platform.Revision }

// StopWatch ends it.
type StopWatch struct{}

// FetchRosters asks a peer for the rosters it knows.
type FetchRosters struct{ From fleet.NodeID }

// Send sends a one-way message to one node.
type Send struct {
	To      fleet.NodeID
	Message wire.Message
}

// Broadcast sends a one-way message to a zone; the empty zone means all.
type Broadcast struct {
	Zone    fleet.Zone
	Message wire.Message
}

// SendHeartbeats sends a heartbeat to all nodes at once.
type SendHeartbeats struct{}

// RosterAdopted tells that a roster of the own zone came into force.
type RosterAdopted struct{ Roster wire.Roster }

// ServiceOlder tells that the key-value service came back older than known.
type ServiceOlder struct {
	Known, Read uint64
}

func (ReadRosters) isAction()    {}
func (WriteRoster) isAction()    {}
func (StartWatch) isAction()     {}
func (StopWatch) isAction()      {}
func (FetchRosters) isAction()   {}
func (Send) isAction()           {}
func (Broadcast) isAction()      {}
func (SendHeartbeats) isAction() {}
func (RosterAdopted) isAction()  {}
func (ServiceOlder) isAction()   {}
