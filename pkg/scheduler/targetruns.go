package scheduler

import "time"

// addRun adds a run to the counts of the target, its replica and its adapter.
func (t *target) addRun(now time.Time, r *run) {
	t.runs++
	t.tokens += r.tokens
	if !r.started {
		t.pendingPrefillTokens += r.inputTokens
	}
	rep := t.replicas[r.model]
	if rep == nil {
		return
	}
	rep.runs++
	rep.lastUsed = now
	if a := rep.adapters[r.adapter]; a != nil {
		a.runs++
		a.lastUsed = now
	}
}

// removeRun reverses the counts of addRun and sets the replica's lastUsed to now. A
// probe without a first event delays the next one.
func (t *target) removeRun(now time.Time, r *run) {
	t.runs = max(t.runs-1, 0)
	t.tokens = max(t.tokens-r.tokens, 0)
	if !r.started {
		t.pendingPrefillTokens = max(t.pendingPrefillTokens-r.inputTokens, 0)
	}
	if r.probe && !r.started {
		t.probing = false
		t.probeAt = now.Add(probeRetryDelay)
	}
	rep := t.replicas[r.model]
	if rep == nil {
		return
	}
	rep.runs = max(rep.runs-1, 0)
	rep.lastUsed = now
	if a := rep.adapters[r.adapter]; a != nil {
		a.runs = max(a.runs-1, 0)
	}
}

// applyOutcome updates the health of the target, or its unconfirmed models and
// adapters, by the outcome of a run.
func (t *target) applyOutcome(now time.Time, r *run, o Outcome) {
	switch o {
	case Completed:
		t.failures = 0
	case Unreachable:
		t.suspectUntil = now.Add(suspectTime)
	case Failed:
		t.failures++
		if t.failures >= maxFailures {
			t.failures = 0
			t.suspectUntil = now.Add(suspectTime)
		}
	case Busy:
		if !r.probe {
			t.busyUntil = now.Add(min(busyTime<<min(t.refusals, 8), maxBusyTime))
			t.refusals++
		}
	case NotLoaded:
		if !r.probe {
			t.markUnconfirmed(now, r)
		}
	case Unused, NotSent:
	}
}

// markUnconfirmed marks the run's adapter as unconfirmed and requests a report. It
// marks the whole replica if the adapter is not known or is already unconfirmed, or
// if the run has none. The memory counts as used until a report shows that it is
// free.
func (t *target) markUnconfirmed(now time.Time, r *run) {
	rep := t.replicas[r.model]
	if rep == nil {
		return
	}
	if a := rep.adapters[r.adapter]; a != nil && !a.unconfirmed {
		a.unconfirmed = true
	} else {
		rep.unconfirmed = true
	}
	t.nextReportAt = now
}

// hasUnconfirmed reports whether a report is needed to show which models and
// adapters the target has loaded.
func (t *target) hasUnconfirmed() bool {
	for _, r := range t.replicas {
		if r.unconfirmed {
			return true
		}
		for _, a := range r.adapters {
			if a.unconfirmed {
				return true
			}
		}
	}
	return false
}

// nextProbeAt returns the earliest time of the next probe. ok is false if no
// load of a model is being carried out, a probe is running, or none is left.
func (t *target) nextProbeAt() (at time.Time, ok bool) {
	if t.phase != modelLoading || t.expectedDuration <= 0 || t.order.Adapter != "" || t.probing || t.probes >= maxProbes {
		return time.Time{}, false
	}
	at = t.orderSince.Add(t.expectedDuration + probeMargin)
	if t.probeAt.After(at) {
		at = t.probeAt
	}
	return at, true
}

// canProbe reports whether a run may start as the probe of a load that no report
// has confirmed yet.
func (t *target) canProbe(now time.Time, model, adapter string) bool {
	at, ok := t.nextProbeAt()
	return ok && adapter == "" && t.order.Model == model && !now.Before(at)
}

// loadConfirmed ends the load that a probe has confirmed by its first event.
func (t *target) loadConfirmed(now time.Time, r *run) {
	t.probing = false
	if t.phase != modelLoading || t.order.Model != r.model {
		return
	}
	t.replicas[r.model] = &replica{adapters: map[string]*adapter{}, lastUsed: now, runs: 1}
	t.phase, t.order, t.plan = noOrder, nil, nil
}
