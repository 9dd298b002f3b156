// Package keepalive decides how long an idle replica stays loaded and when
// an unloaded one is loaded ahead of its next request. Decisions are pure
// functions of histograms of idle gaps; Policy keeps the histograms.
package keepalive

import "time"

// Options are the settings of the keep-alive policy.
type Options struct {
	// IdleWeight is the price of one idle accelerator second in seconds of
	// cold start; a larger value unloads sooner. Services may override it
	// in the catalog.
	IdleWeight float64 `yaml:"idle_weight" validate:"gt=0"`
	// MinWindow is the shortest keep-alive of a model, in nanoseconds.
	MinWindow time.Duration `yaml:"min_window" validate:"gte=0"`
	// MaxWindow is the longest keep-alive of a model, in nanoseconds.
	MaxWindow time.Duration `yaml:"max_window" validate:"gtfield=MinWindow"`
	// PriorGaps is the weight, in gaps, of the histogram over all replicas
	// in the decision on one replica.
	PriorGaps float64 `yaml:"prior_gaps" validate:"gte=0"`
	// DefaultLoadTime is assumed of a replica that has never been loaded.
	DefaultLoadTime time.Duration `yaml:"default_load_time" validate:"gt=0"`
	// TailLoadTime is the load time whose cold start counts once; slower
	// loads count more, faster ones less, in proportion.
	TailLoadTime time.Duration `yaml:"tail_load_time" validate:"gt=0"`
	// LoadAhead permits loads that no request waits for. It lowers the tail
	// of strictly periodic callers and raises idle hours for all others.
	LoadAhead bool `yaml:"load_ahead"`
}

// DefaultOptions returns the settings used where an operator gives none.
func DefaultOptions() Options {
	return Options{
		IdleWeight:      0.16,
		MinWindow:       time.Second,
		MaxWindow:       2 * time.Hour,
		PriorGaps:       1,
		TailLoadTime:    20 * time.Second,
		DefaultLoadTime: 15 * time.Second,
	}
}
