package dispatch

import "time"

// Options are the settings of the request path.
type Options struct {
	// AcquireSlice is the longest time a model home keeps one call of an
	// entry node open; a request that waits longer is asked for again.
	AcquireSlice time.Duration `yaml:"acquire_slice" validate:"gt=0"`
	// AcquireGrace is how long a home keeps the place of a waiting request
	// whose entry node has not asked again, and how long an entry node
	// waits for an overdue answer before it turns to the next home.
	AcquireGrace time.Duration `yaml:"acquire_grace" validate:"gt=0"`
	// NodeDeadAfter is how long an entry node is out of sight before its
	// places are given to others.
	NodeDeadAfter time.Duration `yaml:"node_dead_after" validate:"gt=0"`
	// QueueLimit bounds the requests that wait for one replica at its home.
	QueueLimit int `yaml:"queue_limit" validate:"gt=0"`
	// TargetQueue is the number of requests sent to a target beyond those
	// that it runs at once, as a share of these; it covers the time that a
	// freed place takes to reach the next request.
	TargetQueue float64 `yaml:"target_queue" validate:"gte=0,lte=4"`
	// DefaultMaxRunning stands for an engine that does not report how many
	// requests it runs at once.
	DefaultMaxRunning int `yaml:"default_max_running" validate:"gt=0"`
	// PlainMaxRunning stands for a plain service that does not report it.
	PlainMaxRunning int `yaml:"plain_max_running" validate:"gt=0"`
	// ScaleOutWait is the wait for a place, in multiples of the load time,
	// beyond which the home asks for one more replica.
	ScaleOutWait float64 `yaml:"scale_out_wait" validate:"gt=0"`
	// ScaleOutPause is the wait after a further replica was refused.
	ScaleOutPause time.Duration `yaml:"scale_out_pause" validate:"gt=0"`
	// LoadTimeout bounds one load that requests wait for.
	LoadTimeout time.Duration `yaml:"load_timeout" validate:"gt=0"`
	// LoadAttempts bounds the tries of a load that fails in passing.
	LoadAttempts int `yaml:"load_attempts" validate:"gt=0"`
	// PumpInterval is how often a home looks at new load reports while
	// requests wait.
	PumpInterval time.Duration `yaml:"pump_interval" validate:"gt=0"`
	// CongestedFor is how long an entry node sends all requests of a
	// replica through its home after the home reported a queue.
	CongestedFor time.Duration `yaml:"congested_for" validate:"gt=0"`
	// EjectFor is how long a target that could not be reached is avoided.
	EjectFor time.Duration `yaml:"eject_for" validate:"gt=0"`
	// StaleFor is the longest time for which a target's refusal of a replica
	// as not loaded counts more than its reports.
	StaleFor time.Duration `yaml:"stale_for" validate:"gt=0"`
	// PlacePause is the mean wait before a request that no zone has a place
	// for asks again; it does so until its deadline.
	PlacePause time.Duration `yaml:"place_pause" validate:"gt=0"`
	// MaxAttempts bounds the targets that one request is sent to.
	MaxAttempts int `yaml:"max_attempts" validate:"gt=0"`
	// RetryRatio is the number of retries earned by each request, per team
	// and per target.
	RetryRatio float64 `yaml:"retry_ratio" validate:"gt=0,lte=1"`
	// RetryBurst is the largest number of retries saved up.
	RetryBurst float64 `yaml:"retry_burst" validate:"gt=0"`
	// RetryDelay is the mean wait before the first retry.
	RetryDelay time.Duration `yaml:"retry_delay" validate:"gt=0"`
	// RetryMaxDelay is the longest mean wait before a retry.
	RetryMaxDelay time.Duration `yaml:"retry_max_delay" validate:"gt=0"`
	// OutcomeBody is the number of bytes of an answer kept for further
	// requests with the same idempotency key.
	OutcomeBody int `yaml:"outcome_body" validate:"gte=0"`
}

// DefaultOptions returns the settings for a site with millisecond round trips.
func DefaultOptions() Options {
	return Options{
		AcquireSlice:      5 * time.Second,
		AcquireGrace:      time.Second,
		NodeDeadAfter:     10 * time.Second,
		QueueLimit:        2000,
		TargetQueue:       0.25,
		DefaultMaxRunning: 4,
		PlainMaxRunning:   64,
		ScaleOutWait:      0.25,
		ScaleOutPause:     5 * time.Second,
		LoadTimeout:       2 * time.Minute,
		LoadAttempts:      3,
		PumpInterval:      10 * time.Millisecond,
		CongestedFor:      250 * time.Millisecond,
		EjectFor:          time.Second,
		StaleFor:          2 * time.Second,
		PlacePause:        250 * time.Millisecond,
		MaxAttempts:       4,
		RetryRatio:        0.2,
		RetryBurst:        20,
		RetryDelay:        20 * time.Millisecond,
		RetryMaxDelay:     500 * time.Millisecond,
		OutcomeBody:       2 << 10,
	}
}
