package directory

import "time"

// Options are the settings of the directory.
type Options struct {
	// StaleAfter is the age of a target's last update from which on its
	// entries are marked stale.
	StaleAfter time.Duration `yaml:"stale_after" validate:"gt=0"`
	// RefreshInterval is the time between two reports of an owner that its
	// targets are unchanged, by which others find the updates they missed.
	RefreshInterval time.Duration `yaml:"refresh_interval" validate:"gt=0,ltfield=StaleAfter"`
	// ObserveAfter is the age of an owner's last report from which on a
	// report of another node is accepted. It exceeds RefreshInterval.
	ObserveAfter time.Duration `yaml:"observe_after" validate:"gtfield=RefreshInterval"`
	// FetchTimeout bounds a call for missed updates.
	FetchTimeout time.Duration `yaml:"fetch_timeout" validate:"gt=0"`
}

// DefaultOptions returns the settings of a node.
func DefaultOptions() Options {
	return Options{
		StaleAfter:      15 * time.Second,
		RefreshInterval: 2 * time.Second,
		ObserveAfter:    5 * time.Second,
		FetchTimeout:    2 * time.Second,
	}
}
