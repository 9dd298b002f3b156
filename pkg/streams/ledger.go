// Package streams holds which software version began each stream, and which versions have
// served lately: the responses of two versions don't fit together, so that a stream may go on
// only at the version that began it.
package streams

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Origin says where a stream began.
type Origin struct {
	Service string
	// Version is the software version of the target that sent the first event.
	Version string
}

// maxStreams is the greatest number of streams of one generation of a Ledger.
const maxStreams = 1 << 13

// Ledger holds the origins of streams by the identifiers of the requests that brought their
// first events, each for one to two lives, or less if there are more than maxStreams. Its
// methods may be called concurrently.
type Ledger struct {
	mu   sync.Mutex // guards all below
	life time.Duration
	// young are the streams since youngSince, old those of the life before.
	young, old map[string]Origin
	youngSince time.Time
}

// NewLedger returns an empty ledger for streams of a life.
func NewLedger(life time.Duration) *Ledger {
	return &Ledger{life: life, young: map[string]Origin{}}
}

// SetLife changes the life of streams.
func (l *Ledger) SetLife(life time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.life = life
}

// Put records the origin of a stream, unless one is known: the first event decides.
func (l *Ledger) Put(now time.Time, id string, o Origin) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	if _, known := l.get(id); known {
		return
	}
	if len(l.young) >= maxStreams {
		l.rotate(now)
	}
	l.young[id] = o
}

// Get returns the origin of a stream; ok is false if it is not known.
func (l *Ledger) Get(now time.Time, id string) (o Origin, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	return l.get(id)
}

// get is Get without advance. l.mu must be held.
func (l *Ledger) get(id string) (o Origin, ok bool) {
	if o, ok = l.young[id]; ok {
		return o, true
	}
	o, ok = l.old[id]
	return o, ok
}

// Of returns the streams of a service, by their identifiers.
func (l *Ledger) Of(now time.Time, service string) map[string]Origin {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	out := maps.Clone(l.young)
	maps.Copy(out, l.old)
	maps.DeleteFunc(out, func(_ string, o Origin) bool { return o.Service != service })
	return out
}

// advance begins a new generation when one life has passed. l.mu must be held.
func (l *Ledger) advance(now time.Time) {
	if l.youngSince.IsZero() {
		l.youngSince = now
	}
	age := now.Sub(l.youngSince)
	if age >= 2*l.life {
		l.rotate(now) // nothing of the young generation counts any more, either
	}
	if age >= l.life {
		l.rotate(now)
	}
}

// rotate begins a new generation. l.mu must be held.
func (l *Ledger) rotate(now time.Time) {
	l.old, l.young, l.youngSince = l.young, map[string]Origin{}, now
}

// ByVersion returns the identifiers of streams by service and version, in order.
func ByVersion(origins map[string]Origin) map[string]map[string][]string {
	out := map[string]map[string][]string{}
	for _, id := range slices.Sorted(maps.Keys(origins)) {
		o := origins[id]
		if out[o.Service] == nil {
			out[o.Service] = map[string][]string{}
		}
		out[o.Service][o.Version] = append(out[o.Service][o.Version], id)
	}
	return out
}
