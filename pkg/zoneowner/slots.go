package zoneowner

import (
	"context"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/pace"
	"almondturn/pkg/scheduler"
	"almondturn/wire"
)

// waitingRequest is a slot request that waits for the scheduler's decision.
type waitingRequest struct {
	requestID string
	service   string
	model     string
	response  chan *wire.SlotResponse // buffered; receives one response
}

// AcquireSlot requests a slot at a target of the zone for a node, and waits
// until it is granted or refused. It refuses with SlotNotOwner if this node
// does not own the zone, and with SlotOverloaded if ctx ends first.
func (o *Owner) AcquireSlot(ctx context.Context, node fleet.NodeID, m *wire.SlotRequest) *wire.SlotResponse {
	response := make(chan *wire.SlotResponse, 1)
	o.mu.Lock()
	t := o.term
	if t == nil {
		o.mu.Unlock()
		return &wire.SlotResponse{Refusal: wire.SlotNotOwner}
	}
	now := time.Now()
	ticket := t.scheduler.Submit(now, schedulerRequest(now, node, m))
	t.waiting[ticket] = waitingRequest{m.RequestID, m.Service, m.Model, response}
	if g, ok := t.scheduler.TryGrant(now, ticket); ok {
		o.execute(t, now, g)
	} else {
		o.stepScheduler(t)
	}
	o.mu.Unlock()
	select {
	case resp := <-response:
		return resp
	case <-ctx.Done():
	}
	return o.cancelRequest(t, ticket, response)
}

// View returns what a slot request of a node would find at this owner, and false if this node does
// not own the zone. It changes nothing.
func (o *Owner) View(node fleet.NodeID, m *wire.SlotRequest) (scheduler.View, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term == nil {
		return scheduler.View{}, false
	}
	now := time.Now()
	return o.term.scheduler.View(now, schedulerRequest(now, node, m)), true
}

// cancelRequest removes a slot request whose node no longer waits, and
// releases a slot that was granted in the meantime.
func (o *Owner) cancelRequest(t *term, ticket scheduler.Ticket, response chan *wire.SlotResponse) *wire.SlotResponse {
	o.mu.Lock()
	defer o.mu.Unlock()
	t.scheduler.Cancel(ticket)
	delete(t.waiting, ticket)
	select {
	case resp := <-response:
		if resp.Run != 0 {
			t.scheduler.RunEnded(time.Now(), scheduler.RunID(resp.Run), scheduler.NotSent)
		}
	default:
	}
	return &wire.SlotResponse{Refusal: wire.SlotOverloaded}
}

// schedulerRequest converts a slot request of a node to a request of the
// scheduler. The remaining times of m count from now.
func schedulerRequest(now time.Time, node fleet.NodeID, m *wire.SlotRequest) scheduler.Request {
	return scheduler.Request{
		ID: m.RequestID, Node: node, Service: m.Service, Model: m.Model, Adapter: m.Adapter,
		InputTokens: m.InputTokens, OutputTokens: m.OutputTokens, Priority: m.Priority, Customer: m.Customer,
		ObjectiveAt:       now.Add(time.Duration(m.TimeToObjectiveMillis) * time.Millisecond),
		Deadline:          now.Add(time.Duration(m.TimeToDeadlineMillis) * time.Millisecond),
		LatencyObjective:  time.Duration(m.LatencyObjectiveMillis) * time.Millisecond,
		Continues:         m.Continues,
		MaxEventInterval:  time.Duration(m.MaxEventIntervalMillis) * time.Millisecond,
		Exclude:           m.Exclude,
		Unavailable:       unavailabilities(now, m),
		OtherZonesRefused: m.OtherZonesRefused,
	}
}

// unavailabilities returns the targets to which the sender of a slot request sends none.
// Their pauses count from now.
func unavailabilities(now time.Time, m *wire.SlotRequest) []scheduler.Unavailability {
	var out []scheduler.Unavailability
	for _, u := range m.Unavailable {
		a := scheduler.Unavailability{Target: u.Target}
		if u.PauseMillis > 0 {
			a.Until = now.Add(time.Duration(u.PauseMillis) * time.Millisecond)
		}
		out = append(out, a)
	}
	return out
}

// RunEnded releases the slot of a run.
func (o *Owner) RunEnded(m *wire.RunEnded) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term == nil {
		return
	}
	needsStep := o.term.scheduler.NeedsStepOnEnd(scheduler.RunID(m.Run))
	o.term.scheduler.ObservePace(time.Now(), scheduler.RunID(m.Run), m.PacePercent)
	// The values of wire.RunOutcome equal those of scheduler.Outcome.
	o.term.scheduler.RunEnded(time.Now(), scheduler.RunID(m.Run), scheduler.Outcome(m.Outcome))
	if needsStep {
		o.stepScheduler(o.term)
	}
}

// RunStarted records that the response of a run has begun.
func (o *Owner) RunStarted(m *wire.RunStarted) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term == nil {
		return
	}
	needsStep := o.term.scheduler.NeedsStepOnStart(scheduler.RunID(m.Run))
	o.term.scheduler.ObservePace(time.Now(), scheduler.RunID(m.Run), m.PacePercent)
	o.term.scheduler.RunStarted(time.Now(), scheduler.RunID(m.Run))
	if needsStep {
		o.stepScheduler(o.term)
	}
}

// AdoptRuns adopts the runs in progress of a node that has connected, and
// sends the node the last broadcast state of the zone.
func (o *Owner) AdoptRuns(node fleet.Node, m *wire.ActiveRuns) {
	runs := make([]scheduler.AdoptedRun, len(m.Runs))
	for i, r := range m.Runs {
		runs[i] = scheduler.AdoptedRun{ID: scheduler.RunID(r.ID), Target: r.Target, Model: r.Model, Adapter: r.Adapter, Tokens: r.Tokens}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term == nil {
		return
	}
	if node.Zone == o.cfg.Self.Zone {
		o.term.authority.nodeConnected(o.cfg.BootClock(), node.ID)
	}
	if lastState := o.term.sent.zoneState; lastState != nil {
		o.cfg.Network.Send(node.ID, lastState)
	}
	o.term.scheduler.AdoptRuns(time.Now(), node.ID, runs)
	o.stepScheduler(o.term)
}

// NodeStopping records that a node has announced its shutdown and no longer acquires
// the zone. Its runs keep their slots until they end, or the node is disconnected.
func (o *Owner) NodeStopping(node fleet.NodeID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term != nil {
		o.term.authority.nodeStopped(o.cfg.BootClock(), node)
	}
}

// RemoveNode removes the runs of a node that has been disconnected.
func (o *Owner) RemoveNode(node fleet.NodeID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term == nil {
		return
	}
	o.term.scheduler.RemoveRunsOfNode(time.Now(), node)
	o.stepScheduler(o.term)
}

// refusalResponse returns the response to a slot request that the scheduler
// refused.
func refusalResponse(a scheduler.Refusal) *wire.SlotResponse {
	resp := &wire.SlotResponse{Refusal: wire.SlotOverloaded, RetryAfterMillis: a.RetryAfter.Milliseconds()}
	if a.Reason == scheduler.TryOtherZone {
		resp.Refusal = wire.SlotTryOtherZone
		if a.Estimate.ReferralWait > 0 {
			resp.ExpectedWaitMillis = max(a.Estimate.ReferralWait.Milliseconds(), 1)
		}
	}
	return resp
}

// respond sends the response to a waiting slot request, and returns and
// removes that request. It returns the zero value if the request no longer
// waits. Owner.mu must be held.
func (t *term) respond(ticket scheduler.Ticket, resp *wire.SlotResponse) waitingRequest {
	w := t.waiting[ticket]
	delete(t.waiting, ticket)
	if w.response != nil {
		w.response <- resp
	}
	return w
}

// WaitingRequests returns the number of requests that wait for a slot at this
// owner.
func (o *Owner) WaitingRequests() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term == nil {
		return 0
	}
	return o.term.scheduler.Waiting()
}

// Paces returns the duration factors of the zone's targets that report their pace, at most
// limit of them; none if this node does not own the zone.
func (o *Owner) Paces(limit int) []pace.TargetFactor {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term == nil {
		return nil
	}
	return o.term.scheduler.Paces(time.Now(), limit)
}
