package scheduler

import (
	"slices"
	"time"

	"almondturn/pkg/route"
)

// lateOrderTime is how long after an order without a response the target may still carry it
// out: they are carried out seconds later.
const lateOrderTime = time.Minute

// lateOrder is a load without a response, which the target may carry out until a time. It is
// refused unless the target has accepted exactly as many orders as it expects. A target that
// starts again under its identifier counts anew, and reaches that number again.
type lateOrder struct {
	order Order
	until time.Time
}

// recordLateOrder records an order that the target may carry out later. Unloads free room and
// need none.
func (t *target) recordLateOrder(now time.Time, o *Order) {
	if o != nil && o.Operation == Load {
		t.lateOrders = append(t.lateOrders, lateOrder{*o, now.Add(lateOrderTime)})
	}
}

// inheritLateOrders takes over the late orders of the target's former incarnation, or of the
// time before it left the list.
func (s *Scheduler) inheritLateOrders(now time.Time, t, former *target) {
	if former != nil {
		t.lateOrders = former.lateOrders
		if former.phase == orderSent {
			t.recordLateOrder(now, former.order)
		}
		return
	}
	for _, removed := range s.removedTargets {
		if removed.info.ID == t.info.ID {
			t.lateOrders = append(t.lateOrders, removed.lateOrders...)
		}
	}
}

// expireLateOrders discards the orders that no longer arrive.
func (s *Scheduler) expireLateOrders(now time.Time) {
	for _, t := range s.sortedTargets {
		t.lateOrders = slices.DeleteFunc(t.lateOrders, func(l lateOrder) bool { return !now.Before(l.until) })
	}
}

// roomForLateOrders returns the room that the late orders need whose number the target has not
// passed. The order with the number that the target has reached needs none: either it or the
// next order of this owner is accepted, and room was kept for it before. Of several with one
// number only one is accepted.
func (t *target) roomForLateOrders(e *route.Engine) room {
	if len(t.lateOrders) == 0 {
		return room{}
	}
	byNumber := map[uint64]room{}
	for _, l := range t.lateOrders {
		if l.order.Sequence <= t.sequence || t.holds(l.order.Model, l.order.Adapter) {
			continue
		}
		needed, most := roomForLoad(e, l.order), byNumber[l.order.Sequence]
		byNumber[l.order.Sequence] = room{max(needed.mb, most.mb), max(needed.adapters, most.adapters)}
	}
	sum := room{}
	for _, r := range byNumber {
		sum.mb += r.mb
		sum.adapters += r.adapters
	}
	return sum
}

// holds reports whether the target has loaded the model, and also the adapter unless it is
// empty.
func (t *target) holds(model, adapter string) bool {
	r := t.replicas[model]
	return r != nil && (adapter == "" || r.adapters[adapter] != nil)
}
