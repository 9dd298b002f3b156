package streamversions

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"almondturn/pkg/event"
	"almondturn/pkg/kv"
	"almondturn/pkg/streams"
)

// versionRetryInterval is the time from a failed read or write of the versions to the next one.
const versionRetryInterval = 2 * time.Second

// versionRecord is the entry with the versions that have served lately, as an owner of a zone
// keeps it. It is used by one goroutine.
type versionRecord struct {
	cfg     *Config
	history *streams.History
	// checkTargets records the versions in changes of the list of targets that this node has
	// not read yet.
	checkTargets func(ctx context.Context) error
	// read is true if versions and revision are those of the entry in an era of the
	// key-value service.
	read     bool
	era      kv.Era
	versions map[string][]string
	revision kv.Revision
	// retryAt is when a failed update may be tried again.
	retryAt time.Time
}

// forget forgets what the entry was, which other owners may change.
func (r *versionRecord) forget() { r.read = false }

// update makes the entry list the versions that have served lately.
func (r *versionRecord) update(ctx context.Context, now time.Time) {
	if now.Before(r.retryAt) {
		return
	}
	if r.era != r.cfg.Store.Era() {
		r.read = false // the service was restored from an older copy
	}
	if !r.read && !r.fetch(ctx, now) {
		r.retryAt = now.Add(versionRetryInterval)
		return
	}
	recent := r.history.All(now)
	if maps.EqualFunc(recent, r.versions, slices.Equal[[]string]) {
		return
	}
	if removesVersion(r.versions, recent) {
		// A version may be back that this node has not seen for long.
		if r.checkTargets(ctx) != nil {
			r.retryAt = now.Add(versionRetryInterval)
			return
		}
		recent = r.history.All(time.Now())
	}
	revision, err := r.cfg.Store.CompareAndSwap(ctx, versionKey, encodeVersions(recent), r.revision, kv.LeaseID{})
	if err != nil {
		r.read = false // another owner has changed it, or may have
		if !errors.Is(err, kv.ErrConflict) {
			r.retryAt = now.Add(versionRetryInterval)
		}
		return
	}
	r.versions, r.revision = recent, revision
	event.VersionsStored.Log(r.cfg.Log).Strs("versions", describeVersions(recent)).Send()
}

// removesVersion reports whether a version of before is not among those of after.
func removesVersion(before, after map[string][]string) bool {
	for service, versions := range before {
		for _, v := range versions {
			if !slices.Contains(after[service], v) {
				return true
			}
		}
	}
	return false
}

// fetch reads the entry. The versions in it count as served until now.
func (r *versionRecord) fetch(ctx context.Context, now time.Time) bool {
	e, err := r.cfg.Store.Get(ctx, versionKey)
	switch {
	case errors.Is(err, kv.ErrNotFound):
		e = kv.Entry{}
	case err != nil:
		return false
	}
	r.versions, r.revision, r.read, r.era = nil, e.ModRevision, true, r.cfg.Store.Era()
	if len(e.Value) > 0 {
		r.versions = decodeStreams([]kv.Entry{e}, r.cfg.InvalidEntry).versions
	}
	r.history.Include(now, r.versions)
	return true
}

// describeVersions returns versions as the log has them, SERVICE=VERSION,VERSION.
func describeVersions(versions map[string][]string) []string {
	var out []string
	for _, service := range slices.Sorted(maps.Keys(versions)) {
		out = append(out, service+"="+strings.Join(versions[service], ","))
	}
	return out
}
