package intake

import (
	"net"
	"time"
)

// Intake holds the limits of one node, and what counts against them.
type Intake struct {
	*Bodies
	*Conns
	*Backlogs
}

// New returns an Intake that counts nothing. headLimits returns the limits of heads in force,
// report is called for each client that is refused or whose connection is closed.
func New(limits Limits, headLimits func() HeadLimits, report func(reason Reason, address string)) *Intake {
	return &Intake{NewBodies(limits.BodyBytes), NewConns(limits, headLimits, report, time.Now), NewBacklogs(limits.BacklogBytes)}
}

// ConnOf returns the Conn that a connection wraps, or nil.
func ConnOf(c net.Conn) *Conn {
	conn, _ := c.(*Conn)
	return conn
}
