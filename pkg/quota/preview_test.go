package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"almondturn/fleet"
	"almondturn/wire"
)

// Guards against an explanation that spends tokens, counts demand or ends a denial, and against
// one that differs from what the next request finds.
func TestPeekAgreesWithTheNextChargeAndChangesNothing(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	limit := Limit{PerSecond: 1000, Burst: 1000}
	for _, c := range []struct {
		name         string
		granted      float64
		cost         float64
		after        time.Duration // from the grant and the denial
		held         float64
		denied, asks bool
	}{
		{"no tokens", 0, 100, maxDenialTime, 0, false, true},
		{"denied", 0, 100, maxDenialTime / 2, 0, true, false},
		{"denied to a larger request", 0, 10, maxDenialTime / 2, 0, false, true},
		{"enough", 300, 100, time.Millisecond, 300, false, false},
		{"too few", 300, 390, 2 * maxDenialTime, 300, false, true},
		{"expired", 300, 100, time.Minute, 0, false, true},
	} {
		l := NewLeases(DefaultRule, []fleet.Zone{"a", "b"})
		b := l.balance("north")
		b.put(l.newLease(c.granted, 0, start, wire.QuotaResponse{Granted: c.granted, TermMillis: DefaultRule.Term().Milliseconds()}))
		b.deniedAt, b.deniedUntil, b.retryAt, b.deniedTokens = start, start.Add(maxDenialTime), start.Add(time.Second), 50
		now := start.Add(c.after)
		state := func() string { return fmt.Sprintf("%d %v %v %+v", len(l.customers), l.due, l.prefetching, *b) }
		before := state()
		p := l.Peek(now, "north", c.cost)
		assert.Zero(t, l.Peek(now, "south", c.cost).Held)
		assert.Equal(t, before, state(), c.name)
		assert.InDelta(t, c.held, p.Held, 0, c.name)
		assert.Equal(t, c.denied, p.Denied, c.name)
		assert.Equal(t, c.asks, len(p.Zones) > 0, c.name)

		charge := l.Begin(now, "north", limit, c.cost)
		assert.Equal(t, charge.denied, p.Denied, c.name)
		zone, m := charge.Next(now)
		assert.Equal(t, m != nil, len(p.Zones) > 0, c.name)
		if m != nil {
			assert.Equal(t, zone, p.Zones[0], c.name)
			assert.InDelta(t, charge.lacks(), p.Missing, 0, c.name)
		}
	}
}
