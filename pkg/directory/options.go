package directory

import "time"

// Options are the settings of the directory.
type Options struct {
	// StaleAfter is the age of a target's last update from which on its
	// entries are marked stale.
	StaleAfter time.Duration `yaml:"stale_after" validate:"gt=0"`
}

// DefaultOptions returns the settings of a node.
func DefaultOptions() Options {
	return Options{StaleAfter: 15 * time.Second}
}
