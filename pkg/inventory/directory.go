package inventory

import (
	"iter"
	"maps"
	"time"

	"almondturn/pkg/kv"
)

// Times of a restore of the key-value service from an older copy.
const (
	// absentTime is how long a target stays listed that the restored service does not
	// list, and how long an entry is replaced that may be older: targets that are alive
	// have registered again by then.
	absentTime = 2500 * time.Millisecond
	// hiddenTime is how long a target stays removed that the restored service lists
	// again. The service removes the entry of a target that sends no heartbeats, so
	// that one which is still there then is alive.
	hiddenTime = 10 * time.Second
	// removalMemory is how long a removed target is remembered. Restored copies are
	// seconds old.
	removalMemory = 10 * time.Minute
)

// Registration is the entry of a target, at the revision of its last change.
type Registration struct {
	Revision kv.Revision
	// Target is nil if the entry is invalid.
	Target *Target
}

// Directory holds the targets as the key-value service lists them, by key. When the
// service is restored from an older copy, it keeps what it knows of a target until the
// target registers again: the copy may list targets that were removed, list draining
// ones as ready, or lack new ones. It is used by one goroutine at a time.
type Directory struct {
	era     kv.Era
	listed  map[string]Registration
	kept    map[string]keptTarget
	removed map[string]removedTarget
}

// keptTarget replaces an entry of a restored service, or the lack of one.
type keptTarget struct {
	// known is what the directory knew before. Its Target is nil if the target was
	// removed.
	known Registration
	// listed is the revision of the entry that is replaced; 0 if there is none.
	listed kv.Revision
	// until is when the entry counts, or the lack of it; zero for no limit.
	until time.Time
}

// removedTarget is a target that is no longer listed.
type removedTarget struct {
	incarnation int64
	at          time.Time
}

// RestoreSummary counts the targets of which a Directory keeps what it knows.
type RestoreSummary struct {
	// Older counts entries that are older than what is known, Absent targets that are
	// not listed, and Removed those that are listed again.
	Older, Absent, Removed int
}

// NewDirectory returns a directory without targets.
func NewDirectory() *Directory {
	return &Directory{listed: map[string]Registration{}, kept: map[string]keptTarget{}, removed: map[string]removedTarget{}}
}

// Replace replaces all entries by a list that was read in an era of the service. The
// result is zero unless the service was restored since the last list.
func (d *Directory) Replace(now time.Time, era kv.Era, list map[string]Registration) RestoreSummary {
	before := maps.Collect(d.all())
	restored := d.era != 0 && era > d.era
	d.era, d.listed = era, make(map[string]Registration, len(list))
	maps.Copy(d.listed, list)
	if restored {
		return d.keepKnown(now, before)
	}
	maps.DeleteFunc(d.kept, func(key string, k keptTarget) bool { return d.listed[key].Revision != k.listed })
	for key, known := range before {
		if _, ok := d.listed[key]; !ok && d.kept[key].known.Target == nil {
			d.remove(now, key, known)
		}
	}
	d.forgetListed()
	return RestoreSummary{}
}

// forgetListed forgets that targets were removed which are listed again and whose
// entries count.
func (d *Directory) forgetListed() {
	for key, r := range d.listed {
		if _, ok := d.kept[key]; !ok && r.Target != nil {
			delete(d.removed, key)
		}
	}
}

// keepKnown keeps what was known before a restore where the list is older.
func (d *Directory) keepKnown(now time.Time, before map[string]Registration) RestoreSummary {
	var summary RestoreSummary
	d.kept = map[string]keptTarget{}
	for key, known := range before {
		listed, ok := d.listed[key]
		if !ok {
			d.kept[key] = keptTarget{known: known, until: now.Add(absentTime)}
			summary.Absent++
			continue
		}
		older, certain := listed.isOlder(known)
		if !older {
			continue
		}
		kept := keptTarget{known: known, listed: listed.Revision}
		if !certain {
			kept.until = now.Add(absentTime)
		}
		d.kept[key] = kept
		summary.Older++
	}
	for key, r := range d.removed {
		listed, ok := d.listed[key]
		if ok && listed.Target != nil && listed.Target.Incarnation <= r.incarnation {
			d.kept[key] = keptTarget{listed: listed.Revision, until: now.Add(hiddenTime)}
			summary.Removed++
		}
	}
	d.forgetListed()
	return summary
}

// isOlder reports whether an entry of a restored service is older than what is known
// of the target. A target that drains does not become ready again in the same
// incarnation. certain is false if the entry may have been written after the restore.
func (r Registration) isOlder(known Registration) (older, certain bool) {
	switch {
	case known.Target == nil:
		return false, true
	case r.Target == nil:
		return true, false
	case r.Target.Incarnation != known.Target.Incarnation:
		return r.Target.Incarnation < known.Target.Incarnation, true
	case r.Target.Draining != known.Target.Draining:
		return known.Target.Draining, true
	case r.Target.Sequence != known.Target.Sequence:
		return r.Target.Sequence < known.Target.Sequence, true
	}
	// The copy has the counters of the changes up to it; those after it count from there.
	return r.Revision.Counter() < known.Revision.Counter(), false
}

// Put records the entry of a target.
func (d *Directory) Put(key string, r Registration) {
	delete(d.kept, key)
	delete(d.removed, key)
	d.listed[key] = r
}

// Delete records that the entry of a target was removed.
func (d *Directory) Delete(now time.Time, key string) {
	if known, ok := d.lookup(key); ok {
		d.remove(now, key, known)
	}
	delete(d.kept, key)
	delete(d.listed, key)
}

// remove remembers that a target was removed.
func (d *Directory) remove(now time.Time, key string, known Registration) {
	maps.DeleteFunc(d.removed, func(_ string, r removedTarget) bool { return now.Sub(r.at) > removalMemory })
	if known.Target != nil {
		d.removed[key] = removedTarget{known.Target.Incarnation, now}
	}
}

// Expire ends what has been kept for its time, and reports whether there was any.
func (d *Directory) Expire(now time.Time) bool {
	expired := false
	for key, k := range d.kept {
		if k.until.IsZero() || now.Before(k.until) {
			continue
		}
		expired = true
		delete(d.kept, key)
		if k.listed == 0 {
			d.remove(now, key, k.known)
		}
	}
	d.forgetListed()
	return expired
}

// NextExpiry returns when Expire has something to do next, the zero time for never.
func (d *Directory) NextExpiry() time.Time {
	var next time.Time
	for _, k := range d.kept {
		if !k.until.IsZero() && (next.IsZero() || k.until.Before(next)) {
			next = k.until
		}
	}
	return next
}

// lookup returns what is known of a target.
func (d *Directory) lookup(key string) (Registration, bool) {
	if k, ok := d.kept[key]; ok {
		return k.known, true
	}
	r, ok := d.listed[key]
	return r, ok
}

// all yields what is known of all targets, by key, in no particular order.
func (d *Directory) all() iter.Seq2[string, Registration] {
	return func(yield func(string, Registration) bool) {
		for key, r := range d.listed {
			if _, ok := d.kept[key]; !ok && r.Target != nil && !yield(key, r) {
				return
			}
		}
		for key, k := range d.kept {
			if k.known.Target != nil && !yield(key, k.known) {
				return
			}
		}
	}
}

// Targets returns the targets, in no particular order.
func (d *Directory) Targets() []*Target {
	out := make([]*Target, 0, len(d.listed))
	for _, r := range d.all() {
		out = append(out, r.Target)
	}
	return out
}

// SetModels replaces the loaded models of the targets with the given identifiers, as
// they have reported them.
func (d *Directory) SetModels(models map[string][]LoadedModel) {
	for key, r := range maps.Collect(d.all()) {
		loaded, ok := models[r.Target.ID]
		if !ok {
			continue
		}
		updated := *r.Target
		updated.Models = loaded
		r.Target = &updated
		if k, ok := d.kept[key]; ok {
			k.known = r
			d.kept[key] = k
			continue
		}
		d.listed[key] = r
	}
}
