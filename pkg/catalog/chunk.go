package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"almondturn/fleet"
)

const (
	// meanChunkItems is the mean number of models and adapters in a chunk.
	meanChunkItems = 256
	// maxChunkItems bounds them.
	maxChunkItems = 1024
	// maxChunkBytes keeps a chunk well below the 1 MiB that the key-value
	// service accepts.
	maxChunkBytes = 512 << 10
)

// Digest is the SHA-256 digest of a chunk.
type Digest [sha256.Size]byte

// String returns the digest in hex.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalBinary implements encoding.BinaryMarshaler.
func (d Digest) MarshalBinary() ([]byte, error) { return d[:], nil }

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (d *Digest) UnmarshalBinary(p []byte) error {
	if len(p) != len(d) {
		return fmt.Errorf("digest of %d bytes, want %d", len(p), len(d))
	}
	copy(d[:], p)
	return nil
}

// Chunk is an encoded, immutable part of a subtree.
type Chunk struct {
	Digest Digest
	Data   []byte
}

func newChunk(data []byte) Chunk {
	return Chunk{Digest: sha256.Sum256(data), Data: data}
}

// part is what a chunk holds; exactly one field is set.
type part struct {
	Team    *teamPart    `cbor:"1,keyasint,omitempty"`
	Service *ServiceSpec `cbor:"2,keyasint,omitempty"`
	Runs    []modelRun   `cbor:"3,keyasint,omitempty"`
	// Manifest lists the chunks of a former head.
	Manifest []Digest `cbor:"4,keyasint,omitempty"`
}

// teamPart is the subtree without its services.
type teamPart struct {
	Team           fleet.Team   `cbor:"1,keyasint"`
	OperatorTokens []string     `cbor:"2,keyasint,omitempty"`
	Callers        []CallerSpec `cbor:"3,keyasint,omitempty"`
}

// modelRun is a run of adapters of one model. Model is set in the model's
// first run, without adapters; later runs continue the last model.
type modelRun struct {
	Model    *ModelSpec    `cbor:"1,keyasint,omitempty"`
	Adapters []AdapterSpec `cbor:"2,keyasint,omitempty"`
}

var encMode = mustEncMode()

func mustEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}

// decMode allows the largest subtrees; unknown fields are ignored, so that
// an older node reads what a newer one wrote.
var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 20}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}

// encodeTeam splits a subtree into chunks, in the order in which decodeTeam
// takes them.
func encodeTeam(spec *TeamSpec) ([]Chunk, error) {
	e := &chunkEncoder{}
	e.emit(part{Team: &teamPart{Team: spec.Team, OperatorTokens: spec.OperatorTokens, Callers: spec.Callers}})
	for i := range spec.Services {
		e.service(&spec.Services[i])
	}
	return e.chunks, e.err
}

type chunkEncoder struct {
	chunks []Chunk
	runs   []modelRun
	items  int
	err    error
}

func (e *chunkEncoder) emit(p part) {
	data, err := encMode.Marshal(p)
	switch {
	case e.err != nil:
	case err != nil:
		e.err = fmt.Errorf("encode chunk: %w", err)
	case len(data) > maxChunkBytes:
		e.err = fmt.Errorf("encode chunk: %d bytes exceed %d", len(data), maxChunkBytes)
	default:
		e.chunks = append(e.chunks, newChunk(data))
	}
}

func (e *chunkEncoder) service(svc *ServiceSpec) {
	header := *svc
	header.Models = nil
	e.emit(part{Service: &header})
	for i := range svc.Models {
		m := &svc.Models[i]
		bare := *m
		bare.Adapters = nil
		e.runs = append(e.runs, modelRun{Model: &bare})
		e.item(m.Name, m.Version)
		for _, a := range m.Adapters {
			e.adapter(a)
			e.item(m.Name, a.Name)
		}
	}
	e.flush()
}

func (e *chunkEncoder) adapter(a AdapterSpec) {
	if len(e.runs) == 0 {
		e.runs = append(e.runs, modelRun{})
	}
	last := &e.runs[len(e.runs)-1]
	last.Adapters = append(last.Adapters, a)
}

// item counts an item and ends the chunk after items chosen by a hash of
// their names. A change then moves only the boundaries next to it.
func (e *chunkEncoder) item(model, name string) {
	e.items++
	if e.items >= maxChunkItems || xxhash.Sum64String(model+"+"+name)%meanChunkItems == 0 {
		e.flush()
	}
}

func (e *chunkEncoder) flush() {
	if len(e.runs) > 0 {
		e.emit(part{Runs: e.runs})
	}
	e.runs, e.items = nil, 0
}

// decodeTeam joins chunks into a subtree.
func decodeTeam(chunks [][]byte) (*TeamSpec, error) {
	spec := new(TeamSpec)
	for i, data := range chunks {
		var p part
		if err := decMode.Unmarshal(data, &p); err != nil {
			return nil, fmt.Errorf("decode chunk %d: %w", i, err)
		}
		if err := spec.join(&p); err != nil {
			return nil, fmt.Errorf("decode chunk %d: %w", i, err)
		}
	}
	return spec, nil
}

func (t *TeamSpec) join(p *part) error {
	switch {
	case p.Team != nil:
		t.Team = p.Team.Team
		t.OperatorTokens = p.Team.OperatorTokens
		t.Callers = p.Team.Callers
		return nil
	case p.Service != nil:
		t.Services = append(t.Services, *p.Service)
		return nil
	case len(t.Services) == 0:
		return fmt.Errorf("models come before their service")
	}
	return t.Services[len(t.Services)-1].join(p.Runs)
}

func (svc *ServiceSpec) join(runs []modelRun) error {
	for _, r := range runs {
		if r.Model != nil {
			svc.Models = append(svc.Models, *r.Model)
		}
		if len(svc.Models) == 0 {
			return fmt.Errorf("adapters come before their model")
		}
		last := &svc.Models[len(svc.Models)-1]
		last.Adapters = append(last.Adapters, r.Adapters...)
	}
	return nil
}
