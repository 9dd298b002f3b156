// Package event is the catalogue of numbered log events. Every log line at
// level info or above carries an event number; docs/events.md lists them.
package event

import (
	"fmt"
	"sort"

	"github.com/rs/zerolog"
)

// Event is one kind of log line.
type Event struct {
	// Number is unique and never reused. Each package has a range of 100.
	Number int
	// Name is a short identifier in snake case.
	Name string
	// Level is the level it is logged at.
	Level zerolog.Level
	// Meaning tells an operator what happened and what to do.
	Meaning string
}

var catalogue = map[int]Event{}

// register adds an event to the catalogue; a number in use is a
// programming error found at start.
func register(number int, name string, level zerolog.Level, meaning string) Event {
	if old, ok := catalogue[number]; ok {
		panic(fmt.Sprintf("event %d is both %s and %s", number, old.Name, name))
	}
	e := Event{Number: number, Name: name, Level: level, Meaning: meaning}
	catalogue[number] = e
	return e
}

// Log starts a log line for the event.
func (e Event) Log(l *zerolog.Logger) *zerolog.Event {
	return l.WithLevel(e.Level).Int("event", e.Number).Str("name", e.Name)
}

// Catalogue returns all events by number.
func Catalogue() []Event {
	out := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Number < out[j].Number })
	return out
}
