package membership

import "time"

// Options are the settings of membership.
type Options struct {
	// TickInterval is the time between looks at who is silent.
	TickInterval time.Duration `yaml:"tick_interval" validate:"gt=0"`
	// SuspicionTimeout is the time without a heartbeat after which a node
	// counts as silent. It exceeds two heartbeat intervals.
	SuspicionTimeout time.Duration `yaml:"suspicion_timeout" validate:"gt=0"`
	// LostTimeout is the time after the end of a node's last connection
	// after which it counts as silent.
	LostTimeout time.Duration `yaml:"lost_timeout" validate:"gt=0"`
	// EvictAloneAfter is the silence after which a member may be removed by
	// a node that does not reach a majority of the roster.
	EvictAloneAfter time.Duration `yaml:"evict_alone_after" validate:"gtfield=SuspicionTimeout"`
	// EvictStagger is the extra wait of each further node that could do the
	// same removal.
	EvictStagger time.Duration `yaml:"evict_stagger" validate:"gt=0"`
	// JoinAloneAfter is the wait of a node that hears less than half of the
	// roster before it joins. It doubles with each time that the node was
	// removed while it was running, up to JoinAloneMax.
	JoinAloneAfter time.Duration `yaml:"join_alone_after" validate:"gt=0"`
	JoinAloneMax   time.Duration `yaml:"join_alone_max" validate:"gtfield=JoinAloneAfter"`
	// RetryInterval is the wait after a failed call to the key-value service.
	RetryInterval time.Duration `yaml:"retry_interval" validate:"gt=0"`
	// CallTimeout bounds each call to the key-value service.
	CallTimeout time.Duration `yaml:"call_timeout" validate:"gt=0"`
	// PollInterval is the time between reads of the rosters by a zone's
	// watchers, which finds watches that have fallen silent.
	PollInterval time.Duration `yaml:"poll_interval" validate:"gt=0"`
	// Watchers is the number of nodes per zone that watch the rosters.
	Watchers int `yaml:"watchers" validate:"min=1"`
	// ForgetAfter is the time after which a node that is in no roster and
	// has no connection is forgotten.
	ForgetAfter time.Duration `yaml:"forget_after" validate:"gt=0"`
	// VMPollers is the number of nodes per zone that poll the VM list, and
	// VMPollInterval the time between two polls.
	VMPollers      int           `yaml:"vm_pollers" validate:"min=1"`
	VMPollInterval time.Duration `yaml:"vm_poll_interval" validate:"gt=0"`
}

// DefaultOptions returns the settings of a node.
func DefaultOptions() Options {
	return Options{
		TickInterval:     250 * time.Millisecond,
		SuspicionTimeout: 3 * time.Second,
		LostTimeout:      time.Second,
		EvictAloneAfter:  20 * time.Second,
		EvictStagger:     time.Second,
		JoinAloneAfter:   10 * time.Second,
		JoinAloneMax:     time.Minute,
		RetryInterval:    time.Second,
		CallTimeout:      2 * time.Second,
		PollInterval:     10 * time.Second,
		Watchers:         2,
		ForgetAfter:      10 * time.Minute,
		VMPollers:        2,
		VMPollInterval:   5 * time.Second,
	}
}
