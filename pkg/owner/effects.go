package owner

// advanceEffects looks at the roster when a load of unknown outcome seems to
// have taken effect on an engine that ignores fencing numbers: a later owner,
// of which this one has not heard, could have loaded the replica as well.
func (m *Machine) advanceEffects() {
	if m.orders.effectCall != 0 || !m.env.Platform || m.env.Older || m.env.Now.Before(m.orders.effectRetryAt) {
		return
	}
	var call uint64
	for _, f := range m.orders.floating {
		if !f.seen || f.ambiguous {
			continue
		}
		if call == 0 {
			call = m.id()
		}
		f.rosterCall = call
	}
	switch {
	case call == 0:
	case m.hooks.skipEffectRoster:
		m.orders.effectCall = call
		m.effectsConfirmed(RosterRead{Op: call, Epoch: m.epoch})
	default:
		m.orders.effectCall = call
		m.do(ReadRoster{Op: call})
	}
}

// effectsConfirmed takes the roster read that began after the replicas were
// seen: with this epoch in it, the loads of unknown outcome have taken effect.
func (m *Machine) effectsConfirmed(ev RosterRead) {
	m.orders.effectCall = 0
	switch {
	case !m.owner:
		return
	case ev.Err != nil, ev.Epoch < m.epoch:
		m.orders.effectRetryAt = m.env.Now.Add(m.opts.RetryInterval)
		return
	case ev.Epoch > m.epoch:
		m.supersede(ev.Epoch)
		return
	}
	for k, f := range m.orders.floating {
		if f.seen && !f.ambiguous && f.rosterCall == ev.Op {
			delete(m.orders.floating, k)
		}
	}
}

// forgetEffects drops what a former term of ownership had seen.
func (m *Machine) forgetEffects() {
	m.orders.effectCall = 0
	for _, f := range m.orders.floating {
		f.seen, f.rosterCall = false, 0
	}
	for _, p := range m.orders.pending {
		p.observed = false
	}
}
