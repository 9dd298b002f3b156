package placement

import (
	"maps"
	"slices"
	"time"
)

// Budget hands out one zone's share of a load budget: at most so many
// permits at once, and so many a second. Demand comes before prefetch.
type Budget struct {
	perSecond float64
	share     int
	tokens    float64
	filledAt  time.Time
	// permits are those handed out, with the time at which they lapse.
	permits  map[string]time.Time
	demand   []string
	prefetch []string
}

// budgetBurstSeconds is how much of the rate can be saved up.
const budgetBurstSeconds = 1.0

// NewBudget returns a budget of share permits at once and perSecond permits
// a second; perSecond 0 sets no rate.
func NewBudget(perSecond float64, share int, now time.Time) *Budget {
	return &Budget{
		perSecond: perSecond,
		share:     share,
		tokens:    max(perSecond*budgetBurstSeconds, 1),
		filledAt:  now,
		permits:   map[string]time.Time{},
	}
}

// Share returns the zone's part of a budget of total permits, the zones
// being numbered from 0. Every zone has at least one.
func Share(total, zones, index int) int {
	share := total / zones
	if index < total%zones {
		share++
	}
	return max(share, 1)
}

// Ask queues for a permit.
func (b *Budget) Ask(id string, prefetch bool) {
	if prefetch {
		b.prefetch = append(b.prefetch, id)
		return
	}
	b.demand = append(b.demand, id)
}

// Withdraw leaves the queue.
func (b *Budget) Withdraw(id string) {
	is := func(other string) bool { return other == id }
	b.demand = slices.DeleteFunc(b.demand, is)
	b.prefetch = slices.DeleteFunc(b.prefetch, is)
}

// Waiting returns who is to get the next permit.
func (b *Budget) Waiting() (string, bool) {
	for _, queue := range [][]string{b.demand, b.prefetch} {
		if len(queue) > 0 {
			return queue[0], true
		}
	}
	return "", false
}

// Next hands a permit to the first in the queue, when one is free.
func (b *Budget) Next(now time.Time, validFor time.Duration) (string, bool) {
	id, ok := b.Waiting()
	if !ok || !b.take(id, now, validFor) {
		return "", false
	}
	b.Withdraw(id)
	return id, true
}

// Lend hands a permit to another zone, when nobody waits for it here.
func (b *Budget) Lend(id string, now time.Time, validFor time.Duration) bool {
	if _, waiting := b.Waiting(); waiting {
		return false
	}
	return b.take(id, now, validFor)
}

func (b *Budget) take(id string, now time.Time, validFor time.Duration) bool {
	maps.DeleteFunc(b.permits, func(_ string, lapses time.Time) bool { return now.After(lapses) })
	if b.perSecond > 0 {
		b.tokens += now.Sub(b.filledAt).Seconds() * b.perSecond
		b.tokens = min(b.tokens, max(b.perSecond*budgetBurstSeconds, 1))
	}
	b.filledAt = now
	if len(b.permits) >= b.share || (b.perSecond > 0 && b.tokens < 1) {
		return false
	}
	if b.perSecond > 0 {
		b.tokens--
	}
	b.permits[id] = now.Add(validFor)
	return true
}

// Return gives a permit back.
func (b *Budget) Return(id string) { delete(b.permits, id) }

// Active returns the number of permits handed out.
func (b *Budget) Active() int { return len(b.permits) }
