package wire

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// formerRunEnded and formerRunStarted are the messages of nodes that know no pace.
type formerRunEnded struct {
	Run     uint64     `cbor:"1,keyasint"`
	Outcome RunOutcome `cbor:"2,keyasint,omitempty"`
}

type formerRunStarted struct {
	Run uint64 `cbor:"1,keyasint"`
}

// Nodes of the former version must understand the messages with a pace, and the messages without
// one must be those of the former version.
func TestPaceIsOptionalInMessagesOfRuns(t *testing.T) {
	for _, c := range []struct{ without, with, former, decoded any }{
		{&RunStarted{Run: 7}, &RunStarted{Run: 7, PacePercent: 170}, &formerRunStarted{Run: 7}, new(formerRunStarted)},
		{&RunEnded{Run: 7, Outcome: RunBusy}, &RunEnded{Run: 7, Outcome: RunBusy, PacePercent: 170}, &formerRunEnded{Run: 7, Outcome: RunBusy}, new(formerRunEnded)},
	} {
		want, err := encMode.Marshal(c.former)
		require.NoError(t, err)
		got, err := encMode.Marshal(c.without)
		require.NoError(t, err)
		assert.Equal(t, want, got)
		got, err = encMode.Marshal(c.with)
		require.NoError(t, err)
		require.NoError(t, decMode.Unmarshal(got, c.decoded))
		assert.Equal(t, c.former, c.decoded)
	}
}

// Guards against a pace below 0 that another node has sent.
func TestPaceOfMessagesIsBounded(t *testing.T) {
	for _, m := range []Message{&RunStarted{PacePercent: -1 << 62}, &RunEnded{PacePercent: -1}} {
		b, err := encMode.Marshal(m)
		require.NoError(t, err)
		e := Envelope{Type: m.Type(), Payload: b}
		got, err := e.Message()
		require.NoError(t, err)
		switch got := got.(type) {
		case *RunStarted:
			assert.Zero(t, got.PacePercent)
		case *RunEnded:
			assert.Zero(t, got.PacePercent)
		}
	}
}
