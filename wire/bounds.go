package wire

import "math"

// Bounds of the numbers of messages, so that no calculation of a receiver overflows.
const (
	// maxMillis is a year in milliseconds, longer than any time of a request or
	// configuration.
	maxMillis = 365 * 24 * 60 * 60 * 1000
	// maxCount bounds numbers of tokens, nodes, loads and priorities.
	maxCount = math.MaxInt32
)

// bounded is a message with numbers that have bounds.
type bounded interface {
	// clamp replaces the numbers that are out of bounds by the bound.
	clamp()
}

// clampMillis returns the time, between -maxMillis and maxMillis.
func clampMillis(n int64) int64 { return min(max(n, -maxMillis), maxMillis) }

// clampDuration returns the duration in milliseconds, between 0 and maxMillis.
func clampDuration(n int64) int64 { return min(max(n, 0), maxMillis) }

// clampCount returns the number, between 0 and maxCount.
func clampCount(n int) int { return min(max(n, 0), maxCount) }

// clamp implements bounded.
func (m *SlotRequest) clamp() {
	m.InputTokens, m.OutputTokens, m.Priority = clampCount(m.InputTokens), clampCount(m.OutputTokens), clampCount(m.Priority)
	m.TimeToObjectiveMillis, m.TimeToDeadlineMillis = clampMillis(m.TimeToObjectiveMillis), clampMillis(m.TimeToDeadlineMillis)
	m.LatencyObjectiveMillis, m.MaxEventIntervalMillis = clampDuration(m.LatencyObjectiveMillis), clampDuration(m.MaxEventIntervalMillis)
	for i := range m.Unavailable {
		m.Unavailable[i].PauseMillis = clampDuration(m.Unavailable[i].PauseMillis)
	}
}

// clamp implements bounded.
func (m *SlotResponse) clamp() {
	m.RetryAfterMillis, m.ExpectedWaitMillis = clampDuration(m.RetryAfterMillis), clampDuration(m.ExpectedWaitMillis)
}

// clamp implements bounded.
func (m *RunStarted) clamp() { m.PacePercent = clampCount(m.PacePercent) }

// clamp implements bounded.
func (m *RunEnded) clamp() { m.PacePercent = clampCount(m.PacePercent) }

// clamp implements bounded.
func (m *ActiveRuns) clamp() {
	for i := range m.Runs {
		m.Runs[i].Tokens = clampCount(m.Runs[i].Tokens)
	}
}

// maxRate bounds numbers of requests per second.
const maxRate = 1e9

// clampRate returns the rate, between 0 and maxRate; maxRate for one that is no number.
func clampRate(perSecond float64) float64 {
	if math.IsNaN(perSecond) {
		return maxRate
	}
	return min(max(perSecond, 0), maxRate)
}

// clamp implements bounded.
func (m *TargetLimits) clamp() {
	for i := range m.Limits {
		l := &m.Limits[i]
		l.PerSecond, l.AgeMillis = clampRate(l.PerSecond), clampDuration(l.AgeMillis)
	}
}

// clamp implements bounded.
func (m *PermitRequest) clamp() { m.MaxWaitMillis = clampDuration(m.MaxWaitMillis) }

// clamp implements bounded.
func (m *PermitResponse) clamp() { m.WaitMillis = clampDuration(m.WaitMillis) }

// clamp implements bounded.
func (m *TargetChangesRequest) clamp() { m.WaitMillis = clampDuration(m.WaitMillis) }

// clamp implements bounded.
func (m *OwnerChangesRequest) clamp() { m.WaitMillis = clampDuration(m.WaitMillis) }

// clamp implements bounded.
func (m *ZoneState) clamp() {
	m.OrdersAfterMillis = clampDuration(m.OrdersAfterMillis)
	m.Backlog, m.NodeCount, m.WeightStoreLoads = clampCount(m.Backlog), clampCount(m.NodeCount), clampCount(m.WeightStoreLoads)
}

// clamp implements bounded.
func (m *ZoneChange) clamp() {
	m.OrdersAfterMillis = clampDuration(m.OrdersAfterMillis)
	m.Backlog, m.NodeCount, m.WeightStoreLoads = clampCount(m.Backlog), clampCount(m.NodeCount), clampCount(m.WeightStoreLoads)
}
