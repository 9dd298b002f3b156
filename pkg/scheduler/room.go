package scheduler

import "almondturn/pkg/route"

// usedMB returns the memory that the replicas take and that late orders need, or the target's
// whole memory for weights if one of the models is not configured.
func (t *target) usedMB(e *route.Engine) float64 {
	used := t.roomForLateOrders(e).mb
	for name, r := range t.replicas {
		m := e.Models[name]
		if m == nil {
			return e.WeightsMB // the size of an unconfigured model is unknown
		}
		used += m.WeightsMB + float64(len(r.adapters))*m.AdapterMB
	}
	return used
}

// adapterCount returns the number of adapters loaded at the target.
func (t *target) adapterCount() int {
	n := 0
	for _, r := range t.replicas {
		n += len(r.adapters)
	}
	return n
}

// plannedMB returns the memory in use after the target's plan is carried out.
func (t *target) plannedMB(e *route.Engine) float64 {
	used := t.usedMB(e)
	if t.plan == nil {
		return used
	}
	for _, v := range t.plan.victims {
		if r, m := t.replicas[v], e.Models[v]; r != nil && m != nil {
			used -= m.WeightsMB + float64(len(r.adapters))*m.AdapterMB
		}
	}
	if m := e.Models[t.plan.model]; m != nil && t.replicas[t.plan.model] == nil {
		used += m.WeightsMB
	}
	return used
}

// idleReplicaMB returns an upper bound of the memory that unloading replicas
// without runs can free.
func (t *target) idleReplicaMB(e *route.Engine) float64 {
	mb := 0.0
	for name, r := range t.replicas {
		if m := e.Models[name]; m != nil && r.runs == 0 && !r.closing {
			mb += m.WeightsMB + float64(len(r.adapters))*m.AdapterMB
		}
	}
	return mb
}

// room is memory and adapter slots of a target.
type room struct {
	mb       float64
	adapters int
}

// roomForLoad returns the room that a load takes: the whole memory for a model that is not
// configured, whose size is unknown.
func roomForLoad(e *route.Engine, o Order) room {
	m := e.Models[o.Model]
	switch {
	case m == nil && o.Adapter == "":
		return room{mb: e.WeightsMB}
	case m == nil:
		return room{adapters: 1}
	case o.Adapter != "":
		return room{m.AdapterMB, 1}
	}
	return room{mb: m.WeightsMB}
}
