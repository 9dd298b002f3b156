package wire

// PartEvidence is evidence about parts of prompts, and whole requests, that may crash targets. A node
// sends it to the owners of the zones, and an owner to the nodes. Ages are times before
// the message was sent.
type PartEvidence struct {
	Parts []PartRecord `cbor:"1,keyasint,omitempty"`
}

// PartRecord is the evidence about one part of the prompts for a service, or one request to it.
type PartRecord struct {
	Service string        `cbor:"1,keyasint"`
	Part    string        `cbor:"2,keyasint"`
	Crashes []CrashRecord `cbor:"3,keyasint,omitempty"`
	// Survived is true if a run with the part is known to have survived;
	// SurvivedAgeMillis is the age of the beginning of the last one.
	Survived          bool  `cbor:"4,keyasint,omitempty"`
	SurvivedAgeMillis int64 `cbor:"5,keyasint,omitempty"`
	// TrialMillis is the time for which the result of a trial is still awaited.
	TrialMillis int64 `cbor:"6,keyasint,omitempty"`
	// Kind is 0 for a part of prompts, whose identifier Part is, and 1 for a whole request,
	// whose digest Part is.
	Kind uint8 `cbor:"7,keyasint,omitempty"`
	// Rounds counts the rounds of crashes.
	Rounds int `cbor:"8,keyasint,omitempty"`
	// Refused is true if a target refused a trial that counts as a round; RefusedAgeMillis
	// is the age of the last one.
	Refused          bool  `cbor:"9,keyasint,omitempty"`
	RefusedAgeMillis int64 `cbor:"10,keyasint,omitempty"`
}

// CrashRecord is a crash of an incarnation of a target. Requests identifies requests whose
// runs it ended.
type CrashRecord struct {
	Target      string   `cbor:"1,keyasint"`
	Incarnation int64    `cbor:"2,keyasint,omitempty"`
	AgeMillis   int64    `cbor:"3,keyasint,omitempty"`
	Requests    []string `cbor:"4,keyasint,omitempty"`
}

// Type implements Message.
func (*PartEvidence) Type() Type { return TypePartEvidence }
