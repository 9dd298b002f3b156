// Package keepalive decides how long an idle replica stays loaded, and when an
// unloaded one is loaded ahead of its next request. Decisions are pure functions
// of histograms of idle gaps; Policy holds the histograms.
package keepalive

import "time"

// Options are the settings of the keep-alive policy.
type Options struct {
	// IdleWeight is the price of one idle accelerator second, in seconds of
	// cold start. A larger value unloads replicas sooner. Services may override
	// it in their configuration.
	IdleWeight float64 `yaml:"idle_weight" validate:"gt=0"`
	// MinWindow is the shortest keep-alive window.
	MinWindow time.Duration `yaml:"min_window" validate:"gte=0"`
	// MaxWindow is the longest keep-alive window.
	MaxWindow time.Duration `yaml:"max_window" validate:"gtfield=MinWindow"`
	// PriorGaps is the weight, in gaps, of the histogram of all replicas of the
	// same kind (model or adapter) in the decision on one replica.
	PriorGaps float64 `yaml:"prior_gaps" validate:"gte=0"`
	// DefaultLoadTime is the load time of a replica that was never loaded.
	DefaultLoadTime time.Duration `yaml:"default_load_time" validate:"gt=0"`
	// TailLoadTime is the load time whose cold start has weight 1. The weight
	// of other load times is proportional to their length.
	TailLoadTime time.Duration `yaml:"tail_load_time" validate:"gt=0"`
	// LoadAhead allows loads before any request waits for them. It shortens the
	// tail for strictly periodic callers and increases idle hours for all others.
	LoadAhead bool `yaml:"load_ahead"`
}

// DefaultOptions returns the settings for deployments that don't set any.
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
