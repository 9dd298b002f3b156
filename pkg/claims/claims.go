// Package claims makes requests with an idempotency key run at most once,
// regardless of the nodes through which they arrive. A claim is one key of the
// key-value service: it is created before the request is sent to a target, and
// holds the outcome afterwards. If the service is restored from an older copy, each node
// writes the claims again that it has written recently.
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

// Prefix is the prefix of the keys of all claims in the key-value service.
const Prefix = "almondturn/claims/"

const (
	// retention is the minimum time, from the creation of a claim, for which its
	// outcome is stored.
	retention = 24 * time.Hour
	// leaseReusePeriod is the time during which new claims are bound to the same lease.
	leaseReusePeriod = time.Hour
	// claimGracePeriod is the time from the request's deadline until its claim
	// expires.
	claimGracePeriod = 5 * time.Second
	// MaxBodyBytes is the maximum length of the stored body of a response.
	MaxBodyBytes = 2 << 10
)

// Store is the part of the key-value service that claims need. Its errors are
// those of package kv.
type Store interface {
	Get(ctx context.Context, key string) (kv.Entry, error)
	Commit(ctx context.Context, c kv.Transaction) (kv.Revision, error)
	GrantLease(ctx context.Context, ttl time.Duration) (kv.LeaseID, error)
	// Era returns the era of the service as its responses have shown it, 0 for none.
	Era() kv.Era
}

// Request is a request with an idempotency key.
type Request struct {
	// KeyScope and Key identify the claim: to whom the key belongs (package callers
	// passes TEAM/SERVICE), and the value of the caller's header Idempotency-Key.
	KeyScope, Key string
	// Digest is a digest of the content of the request. It detects a key that is
	// reused for a different request.
	Digest [sha256.Size]byte
	// RequestID is unique for each attempt of a caller.
	RequestID string
	// Deadline is the deadline of the request.
	Deadline time.Time
}

// key returns the claim's key in the key-value service.
func (r *Request) key() string {
	sum := sha256.Sum256([]byte(r.KeyScope + "\x00" + r.Key))
	return Prefix + hex.EncodeToString(sum[:])
}

// Response is the stored response of a target.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
	// Truncated is true if Body is only the beginning of the body.
	Truncated bool `json:"truncated,omitempty"`
}

// record is the value of a claim in the key-value service.
type record struct {
	Digest    []byte `json:"digest"`
	RequestID string `json:"request_id"`
	// ExpiresAt is when the claim expires, in Unix milliseconds. The node that runs the
	// request then counts as dead: an expired claim without a response has an unknown
	// outcome. It stays stored until its lease expires, at least for retention.
	ExpiresAt int64 `json:"until"`
	// Response is nil until the outcome has been recorded.
	Response *Response `json:"answer,omitempty"`
	// Era is the last era of the key-value service in which the request was known to hold
	// the key. A claim that was made by a node which had not seen the current era is of a
	// former one: its request is not run.
	Era kv.Era `json:"era,omitempty"`
}

// Claim is a claim that this node has created. It is used by one goroutine at a time.
type Claim struct {
	key      string
	record   record
	revision kv.Revision // of the last write that was confirmed; 0 before the first
	lease    kv.LeaseID
}

// RequestID returns the identifier of the request that holds the claim.
func (c *Claim) RequestID() string { return c.record.RequestID }

// Registry creates claims and records their outcomes. Its methods may be called
// concurrently.
type Registry struct {
	store Store
	now   func() time.Time

	mu             sync.Mutex // guards lease and leaseGrantedAt
	lease          kv.LeaseID
	leaseGrantedAt time.Time

	recent recentClaims

	eraMu sync.Mutex // guards era and settledAt
	// era is the highest era that was seen. Until settledAt, claims of other nodes may
	// be missing.
	era       kv.Era
	settledAt time.Time
}

// New returns a registry that stores claims in a key-value service. Run must be called.
func New(s Store) *Registry { return &Registry{store: s, now: time.Now} }

// Begin claims the key of a request. It returns a claim if the request may be
// sent, the stored response if the request has already run, or an error of kind
// KeyInProgress, KeyMismatch, OutcomeUnknown or ClaimUnsettled. The caller ends a
// returned claim with Release, Complete or MarkOutcomeUnknown.
func (reg *Registry) Begin(ctx context.Context, r *Request) (*Claim, *Response, error) {
	era, err := reg.settledEra()
	if err != nil {
		return nil, nil, claimUnsettled(err)
	}
	c := &Claim{key: r.key(), record: record{
		Digest: r.Digest[:], RequestID: r.RequestID, ExpiresAt: r.Deadline.Add(claimGracePeriod).UnixMilli(),
	}}
	err = reg.create(ctx, c, era)
	if errors.Is(err, kv.ErrLeaseExpired) {
		err = reg.create(ctx, c, era) // with a new lease
	}
	switch {
	case err == nil:
		return reg.confirm(ctx, c, era)
	case errors.Is(err, kv.ErrConflict), errors.Is(err, kv.ErrOutcomeUnknown):
		return reg.checkExisting(ctx, c, era)
	default:
		return nil, nil, claimUnsettled(err)
	}
}

// confirm returns the claim, which was written after era was found settled, and
// remembers it. If the service was restored meanwhile, the claim may be lost, or another
// node may have had the key: the request is not run then.
func (reg *Registry) confirm(ctx context.Context, c *Claim, era kv.Era) (*Claim, *Response, error) {
	reg.recent.begin(c, c.revision.Era())
	current, err := reg.settledEra()
	if err == nil && (current == era || current == kv.FirstEra) {
		return c, nil, nil
	}
	_ = reg.Release(ctx, c) // otherwise the outcome counts as unknown once the claim expires
	return nil, nil, claimUnsettled(errRestored)
}

// checkExisting reads the claim that c conflicted with, or that c itself has
// created if the response to its write was lost. It returns what Begin does; era is the
// one that was found settled.
func (reg *Registry) checkExisting(ctx context.Context, c *Claim, era kv.Era) (*Claim, *Response, error) {
	e, err := reg.store.Get(ctx, c.key)
	if err != nil {
		return nil, nil, claimUnsettled(err)
	}
	var existing record
	if err := json.Unmarshal(e.Value, &existing); err != nil {
		return nil, nil, fault.New(fault.OutcomeUnknown, "the claim of this key cannot be read: %w", err)
	}
	switch {
	case existing.RequestID == c.record.RequestID:
		c.revision = e.ModRevision // our own write: only its response was lost
		return reg.confirm(ctx, c, era)
	case string(existing.Digest) != string(c.record.Digest):
		return nil, nil, fault.New(fault.KeyMismatch, "the key was used for a different request; take a new key")
	case existing.Response != nil:
		return nil, existing.Response, nil
	case reg.now().UnixMilli() > existing.ExpiresAt:
		return nil, nil, fault.New(fault.OutcomeUnknown, "the first request with this key may have run; its outcome was not recorded")
	default:
		return nil, nil, fault.New(fault.KeyInProgress, "the first request with this key is in progress")
	}
}

// Release deletes the claim, because the request was not run; the key can then be
// claimed again. If it returns an error, the call may be repeated.
func (reg *Registry) Release(ctx context.Context, c *Claim) error {
	reg.recent.release(c, reg.now())
	_, err := reg.store.Commit(ctx, kv.Transaction{Expect: map[string]kv.Revision{c.key: c.revision}, Delete: []string{c.key}})
	if errors.Is(err, kv.ErrConflict) {
		return reg.deleteOwn(ctx, c.key, c.record.RequestID)
	}
	return err
}

// Complete records the response. If it returns an error other than ErrLost, the call may
// be repeated.
func (reg *Registry) Complete(ctx context.Context, c *Claim, resp *Response) error {
	c.record.Response = resp
	return reg.recordOutcome(ctx, c)
}

// MarkOutcomeUnknown records that the outcome will never be known: further
// requests with the key get an error of kind OutcomeUnknown immediately, because the
// claim is stored as expired and has no response. If it returns an error other than
// ErrLost, the call may be repeated.
func (reg *Registry) MarkOutcomeUnknown(ctx context.Context, c *Claim) error {
	c.record.ExpiresAt = reg.now().Add(-time.Millisecond).UnixMilli()
	return reg.recordOutcome(ctx, c)
}

// recordOutcome stores the record of c with the outcome. If the claim does not have the
// revision of the last write, because the response to an earlier attempt was lost or the
// service was restored, it is read first.
func (reg *Registry) recordOutcome(ctx context.Context, c *Claim) error {
	c.record.Era = reg.recent.end(c, reg.now())
	err := reg.write(ctx, c)
	if errors.Is(err, kv.ErrConflict) || errors.Is(err, kv.ErrLeaseExpired) {
		c.revision, err = reg.rewrite(ctx, c.key, &c.record)
	}
	if err != nil {
		return err
	}
	reg.recent.setWritten(c.record.RequestID, c.revision.Era())
	return nil
}

// create stores a new claim, bound to the shared lease, which must be of the given era: a
// later one is not settled.
func (reg *Registry) create(ctx context.Context, c *Claim, era kv.Era) error {
	lease, err := reg.sharedLease(ctx)
	if err != nil {
		return err
	}
	if lease.Era > max(era, kv.FirstEra) {
		return errRestored
	}
	c.lease, c.record.Era = lease, lease.Era
	err = reg.write(ctx, c)
	if errors.Is(err, kv.ErrLeaseExpired) {
		reg.dropLease(lease)
	}
	return err
}

// write stores the record of c, expecting the revision of the last write, and
// updates that revision. An error of the store is returned as it is.
func (reg *Registry) write(ctx context.Context, c *Claim) error {
	value, err := encodeRecord(&c.record)
	if err != nil {
		return err
	}
	revision, err := reg.store.Commit(ctx, kv.Transaction{
		Expect: map[string]kv.Revision{c.key: c.revision},
		Put:    []kv.Entry{{Key: c.key, Value: value, Lease: c.lease}},
	})
	if err == nil {
		c.revision = revision
	}
	return err
}

// encodeRecord returns the value of a claim in the key-value service.
func encodeRecord(r *record) ([]byte, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode a claim: %w", err)
	}
	return value, nil
}

// sharedLease returns the lease to which claims of this leaseReusePeriod are
// bound. The key-value service deletes them all when the lease expires, without a
// call for each.
func (reg *Registry) sharedLease(ctx context.Context) (kv.LeaseID, error) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	now := reg.now()
	usable := reg.lease != (kv.LeaseID{}) && reg.lease.Era == reg.store.Era() // one of a former era has expired
	if usable && now.Sub(reg.leaseGrantedAt) < leaseReusePeriod {
		return reg.lease, nil
	}
	lease, err := reg.store.GrantLease(ctx, retention+leaseReusePeriod)
	if err != nil {
		return kv.LeaseID{}, err
	}
	reg.lease, reg.leaseGrantedAt = lease, now
	return lease, nil
}

// covers reports whether the record holds all that another record of the same request
// holds. A request whose outcome is unknown expires early.
func (r *record) covers(other *record) bool {
	return r.Response != nil || other.Response == nil && r.ExpiresAt <= other.ExpiresAt
}

// yieldsTo reports whether a record, found in an era, is not that of the request that
// holds the key, which is the request of other: it was released after the copy from which
// the service was restored, or made by a node that had not seen the restore.
func (r *record) yieldsTo(other *record, era kv.Era) bool {
	return r.Era < era && r.Era <= other.Era
}

// dropLease makes the next claim request a new lease, unless another goroutine
// has already replaced the given one.
func (reg *Registry) dropLease(lease kv.LeaseID) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if reg.lease == lease {
		reg.lease = kv.LeaseID{}
	}
}

// claimUnsettled returns the error for a request that was not run, because the
// key-value service failed while the key was being claimed.
func claimUnsettled(err error) error {
	return fault.New(fault.ClaimUnsettled, "the key could not be claimed; the request was not run: %w", err)
}
