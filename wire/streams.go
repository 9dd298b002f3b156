package wire

// StreamOrigin says at which software version of targets a stream began that a client may take
// up.
type StreamOrigin struct {
	// Stream is the identifier of the request that brought the first event.
	Stream  string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Version string `cbor:"3,keyasint,omitempty"`
}

// StreamOrigins tells an owner which streams have begun at the sender lately.
type StreamOrigins struct {
	Origins []StreamOrigin `cbor:"1,keyasint"`
}

// StreamOriginRequest asks the owner of a zone about a stream that a client takes up. The
// response is StreamOriginResponse.
type StreamOriginRequest struct {
	// Stream is as in StreamOrigin; empty if the client has not named the stream.
	Stream  string `cbor:"1,keyasint,omitempty"`
	Service string `cbor:"2,keyasint"`
}

// StreamOriginResponse is the response to StreamOriginRequest.
type StreamOriginResponse struct {
	// Known is true if Version is that at which the stream began.
	Known   bool   `cbor:"1,keyasint,omitempty"`
	Version string `cbor:"2,keyasint,omitempty"`
	// Owner is true if the sender owns its zone.
	Owner bool `cbor:"3,keyasint,omitempty"`
	// Versions are the versions of the service that have served lately; nil if Known is true, or
	// if the sender does not know all of them.
	Versions []string `cbor:"4,keyasint,omitempty"`
}

// Type implements Message.
func (*StreamOrigins) Type() Type { return TypeStreamOrigins }

// Type implements Message.
func (*StreamOriginRequest) Type() Type { return TypeStreamOriginRequest }

// Type implements Message.
func (*StreamOriginResponse) Type() Type { return TypeStreamOriginResponse }
