// Package event is the catalogue of numbered log events. Every log line at level
// info or above carries an event number; docs/events.md, which the test of this
// package generates, lists them.
package event

import (
	"fmt"
	"sort"

	"github.com/rs/zerolog"
)

// Event describes one kind of log line.
type Event struct {
	// Number is unique and never reused. Each part of the system has a range of
	// 100, from which several packages may log.
	Number int
	// Name is a short identifier in snake case.
	Name string
	// Level is the level of the log line.
	Level zerolog.Level
	// Meaning explains to an operator what happened and, if needed, what to do.
	Meaning string
}

// catalogue holds all events by number. It is filled while the package is
// initialized and not changed afterwards.
var catalogue = map[int]Event{}

// register adds an event to the catalogue and returns it. It panics if the number
// is in use, a programming error that shows as soon as the process starts.
func register(number int, name string, level zerolog.Level, meaning string) Event {
	if existing, ok := catalogue[number]; ok {
		panic(fmt.Sprintf("event %d is both %s and %s", number, existing.Name, name))
	}
	e := Event{Number: number, Name: name, Level: level, Meaning: meaning}
	catalogue[number] = e
	return e
}

// Log starts a log line with the event's level, number and name. The caller adds
// fields and sends it.
func (e Event) Log(l *zerolog.Logger) *zerolog.Event {
	return l.WithLevel(e.Level).Int("event", e.Number).Str("name", e.Name)
}

// Catalogue returns all events, ordered by number.
func Catalogue() []Event {
	out := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Number < out[j].Number })
	return out
}
