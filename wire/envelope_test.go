package wire

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestEveryMessageTypeRoundTripsWithItsNumber(t *testing.T) {
	for number, construct := range constructors {
		m := construct()
		assert.Equal(t, number, m.Type(), "%T", m)
		frame, err := Encode(KindCall, 1, 0, m)
		require.NoError(t, err)
		e, err := DecodeEnvelope(frame)
		require.NoError(t, err)
		got, err := e.Message()
		require.NoError(t, err)
		assert.IsType(t, m, got)
	}
}

func TestUnknownFieldsAreIgnored(t *testing.T) {
	payload, err := encMode.Marshal(map[int]any{4: true, 99: "later"})
	require.NoError(t, err)
	b, err := encMode.Marshal(map[int]any{1: MaxVersion, 2: TypeHeartbeat, 3: KindOneWay, 5: rawMessage(payload), 98: true})
	require.NoError(t, err)
	e, err := DecodeEnvelope(b)
	require.NoError(t, err)
	m, err := e.Message()
	require.NoError(t, err)
	assert.True(t, m.(*Heartbeat).Leaving)
}

// rawMessage is an encoded value that is embedded as it is.
type rawMessage []byte

func (r rawMessage) MarshalCBOR() ([]byte, error) { return r, nil }

func TestInvalidEnvelopesAreRefused(t *testing.T) {
	_, err := DecodeEnvelope(make([]byte, MaxMessageBytes+1))
	require.ErrorIs(t, err, ErrTooLarge)
	_, err = Encode(KindOneWay, 0, 0, &StoreResponse{Body: make([]byte, MaxMessageBytes)})
	require.ErrorIs(t, err, ErrTooLarge)
	b, err := encMode.Marshal(&Envelope{Version: MaxVersion + 1, Type: TypeAck, Kind: KindCall})
	require.NoError(t, err)
	_, err = DecodeEnvelope(b)
	var version *VersionError
	require.ErrorAs(t, err, &version)
	b, err = encMode.Marshal(&Envelope{Version: MaxVersion, Type: TypeAck, Kind: kindEnd})
	require.NoError(t, err)
	_, err = DecodeEnvelope(b)
	require.Error(t, err)
}

// FuzzDecode checks that no input makes the decoder panic, and that accepted
// input can be encoded again and decoded to the same type.
func FuzzDecode(f *testing.F) {
	for _, construct := range constructors {
		frame, err := Encode(KindCall, 9, 100, construct())
		require.NoError(f, err)
		f.Add(frame)
		f.Add(frame[:len(frame)/2])
	}
	f.Add([]byte{0xbf, 0xff})
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		e, err := DecodeEnvelope(b)
		if err != nil {
			return
		}
		m, err := e.Message()
		if err != nil {
			return
		}
		frame, err := Encode(e.Kind, e.Call, e.TimeoutMillis, m)
		require.NoError(t, err)
		again, err := DecodeEnvelope(frame)
		require.NoError(t, err)
		require.Equal(t, e.Type, again.Type)
	})
}
