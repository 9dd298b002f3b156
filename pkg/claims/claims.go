// Package claims makes requests with an idempotency key run at most once,
// through whatever nodes they arrive. A claim is one key of the key-value
// service: it is created before the request is sent to a target, and tells
// the outcome afterwards.
package claims

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"almondturn/pkg/fault"
	"almondturn/pkg/kv"
)

// Prefix is where claims lie in the key-value service.
const Prefix = "almondturn/claims/"

const (
	// retention is how long an outcome is kept at least.
	retention = 24 * time.Hour
	// leaseSharing is the time in which claims are bound to the same lease.
	leaseReusePeriod = time.Hour
	// deadAfter is the time after a claim's deadline at which its holder
	// counts as dead.
	holderGracePeriod = 5 * time.Second
	// MaxBodyBytes bounds the body of an answer that is kept.
	MaxBodyBytes = 2 << 10
)

// Store is the part of the key-value service that claims need.
type Store interface {
	Get(ctx context.Context, key string) (kv.Entry, error)
	Commit(ctx context.Context, c kv.Change) (kv.Revision, error)
	GrantLease(ctx context.Context, ttl time.Duration) (kv.LeaseID, error)
}

// Request is a request with an idempotency key.
type Request struct {
	// Owner and Key name the claim: whose key it is, and the caller's
	// Idempotency-Key.
	Owner, Key string
	// Digest stands for what the request asks for.
	Digest    [sha256.Size]byte
	RequestID string
	Deadline  time.Time
}

// key returns the claim's key in the key-value service.
func (r *Request) key() string {
	sum := sha256.Sum256([]byte(r.Owner + "\x00" + r.Key))
	return Prefix + hex.EncodeToString(sum[:])
}

// Response is what a target answered, as it is kept.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
	// Truncated tells that Body is only the beginning.
	Truncated bool `json:"truncated,omitempty"`
}

// record is a claim as it is kept.
type record struct {
	Digest    []byte `json:"digest"`
	RequestID string `json:"request_id"`
	// Until is when the holder counts as dead, in Unix milliseconds.
	HolderExpiry int64 `json:"until"`
	// Answer is nil while the outcome is not known.
	Response *Response `json:"answer,omitempty"`
}

// Claim is a claim that this node holds.
type Claim struct {
	key      string
	record   record
	revision kv.Revision
	lease    kv.LeaseID
}

// Table makes and settles claims.
type Table struct {
	store Store
	now   func() time.Time

	mu        sync.Mutex // guards lease and leaseFrom
	lease     kv.LeaseID
	leaseGrantedAt time.Time
}

// New returns a table in a key-value service.
func New(s Store) *Table { return &Table{store: s, now: time.Now} }

// Begin claims the key of a request. It returns a claim when the request may
// be sent, the kept answer when it has run, or an error of the kinds
// KeyInProgress, KeyMismatch, OutcomeUnknown and ClaimUnsettled.
func (t *Table) Begin(ctx context.Context, r *Request) (*Claim, *Response, error) {
	lease, err := t.sharedLease(ctx)
	if err != nil {
		return nil, nil, claimUnsettled(err)
	}
	c := &Claim{key: r.key(), lease: lease, record: record{
		Digest: r.Digest[:], RequestID: r.RequestID, HolderExpiry: r.Deadline.Add(holderGracePeriod).UnixMilli(),
	}}
	err = t.write(ctx, c)
	switch {
	case err == nil:
		return c, nil, nil
	case errors.Is(err, kv.ErrConflict):
		return t.checkExisting(ctx, c)
	case errors.Is(err, kv.ErrOutcomeUnknown):
		return t.checkExisting(ctx, c)
	case errors.Is(err, kv.ErrLeaseExpired):
		t.dropLease(lease)
		return nil, nil, claimUnsettled(err)
	default:
		return nil, nil, claimUnsettled(err)
	}
}

// known judges a request by the claim that exists.
func (t *Table) checkExisting(ctx context.Context, c *Claim) (*Claim, *Response, error) {
	e, err := t.store.Get(ctx, c.key)
	if err != nil {
		return nil, nil, claimUnsettled(err)
	}
	var have record
	if err := json.Unmarshal(e.Value, &have); err != nil {
		return nil, nil, fault.New(fault.OutcomeUnknown, "the claim of this key cannot be read: %w", err)
	}
	switch {
	case have.RequestID == c.record.RequestID:
		c.revision = e.ModRevision // the answer to the write was lost
		return c, nil, nil
	case string(have.Digest) != string(c.record.Digest):
		return nil, nil, fault.New(fault.KeyMismatch, "the key was used for a different request; take a new key")
	case have.Response != nil:
		return nil, have.Response, nil
	case t.now().UnixMilli() > have.HolderExpiry:
		return nil, nil, fault.New(fault.OutcomeUnknown, "the first request with this key may have run; its outcome was not recorded")
	default:
		return nil, nil, fault.New(fault.KeyInProgress, "the first request with this key is in progress")
	}
}

// Release gives the key back: the request has not run.
func (t *Table) Release(ctx context.Context, c *Claim) error {
	_, err := t.store.Commit(ctx, kv.Change{Expect: map[string]kv.Revision{c.key: c.revision}, Delete: []string{c.key}})
	return ignoreConflict(err)
}

// Complete records the answer.
func (t *Table) Complete(ctx context.Context, c *Claim, a *Response) error {
	c.record.Response = a
	return ignoreConflict(t.write(ctx, c))
}

// MarkOutcomeUnknown records that the outcome will not be known.
func (t *Table) MarkOutcomeUnknown(ctx context.Context, c *Claim) error {
	c.record.HolderExpiry = t.now().Add(-time.Millisecond).UnixMilli()
	return ignoreConflict(t.write(ctx, c))
}

// settled treats a conflict as success: only an earlier try of the same write
// can have come first.
func ignoreConflict(err error) error {
	if errors.Is(err, kv.ErrConflict) {
		return nil
	}
	return err
}

func (t *Table) write(ctx context.Context, c *Claim) error {
	value, err := json.Marshal(c.record)
	if err != nil {
		return fmt.Errorf("encode a claim: %w", err)
	}
	revision, err := t.store.Commit(ctx, kv.Change{
		Expect: map[string]kv.Revision{c.key: c.revision},
		Put:    []kv.Entry{{Key: c.key, Value: value, Lease: c.lease}},
	})
	if err == nil {
		c.revision = revision
	}
	return err
}

// sharedLease returns the lease that claims of this hour are bound to, so that
// they vanish when they are old without a call for each.
func (t *Table) sharedLease(ctx context.Context) (kv.LeaseID, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if t.lease != 0 && now.Sub(t.leaseGrantedAt) < leaseReusePeriod {
		return t.lease, nil
	}
	lease, err := t.store.GrantLease(ctx, retention+leaseReusePeriod)
	if err != nil {
		return 0, err
	}
	t.lease, t.leaseGrantedAt = lease, now
	return lease, nil
}

// dropLease has the next claim take a new lease.
func (t *Table) dropLease(lease kv.LeaseID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lease == lease {
		t.lease = 0
	}
}

func claimUnsettled(err error) error {
	return fault.New(fault.ClaimUnsettled, "the key could not be claimed; the request was not run: %w", err)
}
