package wire

import (
	"context"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/fleet"
)

// roundTrip returns a message as its receiver decodes it.
func roundTrip(t *testing.T, m Message) Message {
	t.Helper()
	frame, err := Encode(KindCall, 1, 0, m)
	require.NoError(t, err)
	e, err := DecodeEnvelope(frame)
	require.NoError(t, err)
	got, err := e.Message()
	require.NoError(t, err)
	return got
}

// Times and counts of a message that are out of bounds overflowed at the receiver: a
// request with a deadline in 300 million years had expired.
func TestNumbersOfMessagesAreBounded(t *testing.T) {
	for _, n := range []int64{math.MaxInt64, math.MaxInt64 / 1000, 1e16} {
		slot := roundTrip(t, &SlotRequest{
			InputTokens: int(n), OutputTokens: int(-n), Priority: int(-n), TimeToObjectiveMillis: -n, TimeToDeadlineMillis: n,
			LatencyObjectiveMillis: n, MaxEventIntervalMillis: -n,
		}).(*SlotRequest)
		assert.Equal(t, &SlotRequest{
			InputTokens: math.MaxInt32, TimeToObjectiveMillis: -maxMillis, TimeToDeadlineMillis: maxMillis, LatencyObjectiveMillis: maxMillis,
		}, slot)
		assert.True(t, time.Now().Add(time.Duration(slot.TimeToDeadlineMillis)*time.Millisecond).After(time.Now()))
		assert.EqualValues(t, maxMillis, roundTrip(t, &SlotResponse{RetryAfterMillis: n}).(*SlotResponse).RetryAfterMillis)
		assert.Equal(t, &SlotResponse{ExpectedWaitMillis: maxMillis}, roundTrip(t, &SlotResponse{RetryAfterMillis: -n, ExpectedWaitMillis: n}))
		assert.EqualValues(t, maxMillis, roundTrip(t, &TargetChangesRequest{WaitMillis: n}).(*TargetChangesRequest).WaitMillis)
		assert.Zero(t, roundTrip(t, &OwnerChangesRequest{WaitMillis: -n}).(*OwnerChangesRequest).WaitMillis)
		assert.Equal(t, math.MaxInt32, roundTrip(t, &ActiveRuns{Runs: []Run{{Tokens: int(n)}}}).(*ActiveRuns).Runs[0].Tokens)
		state := roundTrip(t, &ZoneState{OrdersAfterMillis: n, Backlog: int(-n), NodeCount: int(n), WeightStoreLoads: int(n)}).(*ZoneState)
		assert.Equal(t, &ZoneState{OrdersAfterMillis: maxMillis, NodeCount: math.MaxInt32, WeightStoreLoads: math.MaxInt32}, state)
		change := roundTrip(t, &ZoneChange{OrdersAfterMillis: -n, Backlog: int(n), NodeCount: int(-n), WeightStoreLoads: int(-n)}).(*ZoneChange)
		assert.Equal(t, &ZoneChange{Backlog: math.MaxInt32}, change)
	}
}

// Guards against bounds that change a sound message.
func TestSoundNumbersOfMessagesAreKept(t *testing.T) {
	for _, m := range []Message{
		&SlotRequest{RequestID: "r", InputTokens: 1460, OutputTokens: 80, Priority: 9, TimeToObjectiveMillis: -1500, TimeToDeadlineMillis: -20, LatencyObjectiveMillis: 400, MaxEventIntervalMillis: 300},
		&SlotRequest{RequestID: "r", Customer: "north"},
		&SlotRequest{TimeToObjectiveMillis: maxMillis, TimeToDeadlineMillis: -maxMillis, InputTokens: math.MaxInt32, Priority: math.MaxInt32},
		&SlotResponse{Run: math.MaxUint64, Target: "i", RetryAfterMillis: 600, ExpectedWaitMillis: 40},
		&TargetChangesRequest{After: math.MaxUint64, WaitMillis: 500},
		&ActiveRuns{Runs: []Run{{ID: 1, Target: "t", Model: "m", Adapter: "a", Tokens: 5}}},
		&ZoneState{Zone: "z", Token: 3, Backlog: 7, NodeCount: 9, WeightStoreLoads: 2, OrdersAfterMillis: 3000, ConfigurationVersion: math.MaxInt64},
		&ZoneChange{Zone: "z", Token: 3, Backlog: 7, NodeCount: 9, WeightStoreLoads: 2, OrdersAfterMillis: 3000},
	} {
		assert.Equal(t, m, roundTrip(t, m))
	}
}

// The timeout of a call overflowed, so that the call was canceled at once.
func TestLongTimeoutOfACallIsBounded(t *testing.T) {
	c := &Conn{ctx: t.Context()}
	for _, timeout := range []int64{1500, maxMillis, maxMillis + 1, math.MaxInt64 / 1000, math.MaxInt64} {
		ctx, cancel := c.callContext(timeout)
		deadline, ok := ctx.Deadline()
		assert.True(t, ok)
		assert.WithinDuration(t, time.Now().Add(time.Duration(min(timeout, maxMillis))*time.Millisecond), deadline, time.Minute, timeout)
		require.NoError(t, ctx.Err())
		cancel()
	}
}

// Guards against lengths, counts and depths that a message claims and does not have, and
// that cost the receiver memory or its stack. Such a message ends the connection.
func TestMessagesOfAnotherWriterAreRefused(t *testing.T) {
	nested := func(levels int) []byte { return append([]byte(strings.Repeat("\x81", levels)), 0) }
	for name, payload := range map[string][]byte{
		"array of 2^64-1":      {0xa1, 0x01, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"array of 2^31":        {0xa1, 0x01, 0x9a, 0x80, 0, 0, 0},
		"map of 2^64-1":        {0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"text of 2^63":         {0xa1, 0x01, 0x7b, 0x80, 0, 0, 0, 0, 0, 0, 0},
		"bytes of 2^31":        {0xa1, 0x01, 0x5a, 0x80, 0, 0, 0},
		"indefinite array":     {0xa1, 0x01, 0x9f, 0xff},
		"tag":                  {0xa1, 0x01, 0xc1, 0x00},
		"1,000 levels":         append([]byte{0xa1, 0x18, 0x63}, nested(1000)...),
		"100,000 levels":       append([]byte{0xa1, 0x18, 0x63}, nested(100_000)...),
		"text that is no text": {0xa1, 0x01, 0x61, 0xff},
		"fraction":             {0xa1, 0x05, 0xfb, 0x40, 0x09, 0x21, 0xfb, 0x54, 0x44, 0x2d, 0x18},
		"another type":         {0xa1, 0x05, 0x61, 0x61},
		"great number":         {0xa1, 0x05, 0x1b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"cut off":              {0xa1, 0x05},
		"empty":                {},
	} {
		e := Envelope{Version: MaxVersion, Type: TypeSlotRequest, Kind: KindCall, Payload: payload}
		_, err := e.Message()
		assert.Error(t, err, name)
	}
}

// A message that can't be decoded ends its connection and no other.
func TestOddMessageEndsItsConnectionOnly(t *testing.T) {
	server := newTestConfig("b", acknowledge)
	odd, oddPeer := connectPair(t, newTestConfig("a", acknowledge), server)
	sound, _ := connectPair(t, newTestConfig("c", acknowledge), server)
	require.NoError(t, oddPeer.ws.Write(context.Background(), 2, []byte(strings.Repeat("\x81", 100_000))))
	select {
	case <-odd.Done():
	case <-time.After(10 * time.Second):
		t.Fatal("the connection did not end")
	}
	_, err := sound.Call(t.Context(), &NodesRequest{})
	require.NoError(t, err)
	assert.Equal(t, fleet.NodeID("b"), sound.Peer().ID)
}

// FuzzDecodePayload checks that no payload makes a decoder panic, and that every decoded
// message stays the same when it is sent on: its numbers are within bounds.
func FuzzDecodePayload(f *testing.F) {
	for _, construct := range constructors {
		payload, err := encMode.Marshal(construct())
		require.NoError(f, err)
		f.Add(payload)
	}
	f.Fuzz(func(t *testing.T, payload []byte) {
		for number := range constructors {
			m, err := (&Envelope{Version: MaxVersion, Type: number, Kind: KindCall, Payload: payload}).Message()
			if err != nil {
				continue
			}
			frame, err := Encode(KindCall, 1, 0, m)
			require.NoError(t, err)
			e, err := DecodeEnvelope(frame)
			require.NoError(t, err)
			again, err := e.Message()
			require.NoError(t, err)
			assert.IsType(t, m, again)
			if s, ok := again.(*SlotRequest); ok {
				for _, n := range []int{s.InputTokens, s.OutputTokens, s.Priority} {
					assert.True(t, n >= 0 && n <= maxCount)
				}
				for _, n := range []int64{s.TimeToObjectiveMillis, s.TimeToDeadlineMillis, s.LatencyObjectiveMillis, s.MaxEventIntervalMillis} {
					assert.True(t, n >= -maxMillis && n <= maxMillis)
				}
			}
		}
	})
}
