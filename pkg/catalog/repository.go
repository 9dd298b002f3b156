package catalog

import (
	"context"
	"errors"
	"fmt"

	"almondturn/fleet"
	"almondturn/pkg/fault"
	"almondturn/pkg/platform"
)

// ChunkSource returns chunks that are at hand without a call.
type ChunkSource interface {
	Chunk(d Digest) ([]byte, bool)
}

// Repository reads and writes subtrees in the key-value service.
type Repository struct {
	kv    platform.KV
	clock platform.Clock
	local ChunkSource
	opts  Options
}

// NewRepository returns a repository. local spares calls for known chunks; it
// may be nil.
func NewRepository(opts Options, kv platform.KV, clock platform.Clock, local ChunkSource) *Repository {
	if local == nil {
		local = noChunks{}
	}
	return &Repository{kv: kv, clock: clock, local: local, opts: opts}
}

type noChunks struct{}

// Chunk implements ChunkSource.
func (noChunks) Chunk(Digest) ([]byte, bool) { return nil, false }

// storedHead is a head with the entry that holds it.
type storedHead struct {
	Head
	entry platform.Entry
}

// readHead returns the head of a team; a team that does not exist has
// revision 0.
func (r *Repository) readHead(ctx context.Context, team fleet.Team) (storedHead, error) {
	e, err := r.kv.Get(ctx, headKey(team))
	if errors.Is(err, platform.ErrNotFound) {
		return storedHead{Head: Head{Team: team}}, nil
	}
	if err != nil {
		return storedHead{}, platformFault(err)
	}
	h, err := decodeHead(e.Value)
	if err != nil {
		return storedHead{}, err
	}
	return storedHead{Head: *h, entry: e}, nil
}

// Head returns the head of the last accepted subtree; its revision is 0 when
// the team does not exist.
func (r *Repository) Head(ctx context.Context, team fleet.Team) (*Head, error) {
	h, err := r.readHead(ctx, team)
	return &h.Head, err
}

// Read returns the last accepted subtree of a team; nil when it does not exist.
func (r *Repository) Read(ctx context.Context, team fleet.Team) (*TeamSpec, *Head, error) {
	h, err := r.readHead(ctx, team)
	if err != nil || h.Revision == 0 {
		return nil, &h.Head, err
	}
	spec, err := r.readSpec(ctx, team, h.Chunks)
	return spec, &h.Head, err
}

// ReadRevision returns a subtree at a revision that its head remembers.
func (r *Repository) ReadRevision(ctx context.Context, team fleet.Team, revision uint64) (*TeamSpec, error) {
	h, err := r.readHead(ctx, team)
	if err != nil {
		return nil, err
	}
	return r.readPast(ctx, &h.Head, revision)
}

func (r *Repository) readPast(ctx context.Context, h *Head, revision uint64) (*TeamSpec, error) {
	if h.Revision == revision && revision > 0 {
		return r.readSpec(ctx, h.Team, h.Chunks)
	}
	for _, p := range h.History {
		if p.Revision != revision {
			continue
		}
		digests, err := r.readManifest(ctx, h.Team, p.Manifest)
		if err != nil {
			return nil, err
		}
		return r.readSpec(ctx, h.Team, digests)
	}
	return nil, fault.New(fault.UnknownPath, "team %q: revision %d is not kept; the last %d are", h.Team, revision, maxHistory+1)
}

func (r *Repository) readManifest(ctx context.Context, team fleet.Team, d Digest) ([]Digest, error) {
	chunks, err := r.readChunks(ctx, team, []Digest{d})
	if err != nil {
		return nil, err
	}
	var p part
	if err := decMode.Unmarshal(chunks[0], &p); err != nil {
		return nil, fmt.Errorf("decode manifest %s: %w", d, err)
	}
	return p.Manifest, nil
}

func (r *Repository) readSpec(ctx context.Context, team fleet.Team, digests []Digest) (*TeamSpec, error) {
	chunks, err := r.readChunks(ctx, team, digests)
	if err != nil {
		return nil, err
	}
	return decodeTeam(chunks)
}

// readChunks returns the data of the chunks in order. Few missing ones are
// read one by one, many with one call.
func (r *Repository) readChunks(ctx context.Context, team fleet.Team, digests []Digest) ([][]byte, error) {
	out := make([][]byte, len(digests))
	var missing []int
	for i, d := range digests {
		data, ok := r.local.Chunk(d)
		if !ok {
			missing = append(missing, i)
		}
		out[i] = data
	}
	if len(missing) > r.opts.MaxSingleReads {
		return out, r.listChunks(ctx, team, digests, missing, out)
	}
	for _, i := range missing {
		e, err := r.kv.Get(ctx, chunkKey(team, digests[i]))
		if err != nil {
			return nil, chunkFault(team, digests[i], err)
		}
		if out[i], err = verified(digests[i], e.Value); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func (r *Repository) listChunks(ctx context.Context, team fleet.Team, digests []Digest, missing []int, out [][]byte) error {
	entries, _, err := r.kv.List(ctx, chunkPrefix(team))
	if err != nil {
		return platformFault(err)
	}
	byKey := make(map[string][]byte, len(entries))
	for _, e := range entries {
		byKey[e.Key] = e.Value
	}
	for _, i := range missing {
		data, ok := byKey[chunkKey(team, digests[i])]
		if !ok {
			return chunkFault(team, digests[i], platform.ErrNotFound)
		}
		if out[i], err = verified(digests[i], data); err != nil {
			return err
		}
	}
	return nil
}

// errChunkMissing tells that a head names a chunk that does not exist; the
// head has been replaced meanwhile, or the service lost data.
var errChunkMissing = errors.New("chunk does not exist")

func chunkFault(team fleet.Team, d Digest, err error) error {
	if errors.Is(err, platform.ErrNotFound) {
		return fmt.Errorf("team %q: chunk %s: %w", team, d, errChunkMissing)
	}
	return platformFault(err)
}

// verified returns data when it has the given digest.
func verified(d Digest, data []byte) ([]byte, error) {
	if newChunk(data).Digest != d {
		return nil, fmt.Errorf("chunk %s: content has another digest", d)
	}
	return data, nil
}

// platformFault tells an operator that the service did not execute a call.
func platformFault(err error) error {
	return fault.New(fault.PlatformUnavailable, "the key-value service does not answer; nothing was changed: %w", err)
}
