package owner

import (
	"time"

	"almondturn/fleet"
	"almondturn/pkg/placement"
)

// Options are the settings of target owners.
type Options struct {
	// PollInterval is the time between two reads of an engine's state, and
	// LoadingPollInterval the same while a replica loads.
	PollInterval        time.Duration `yaml:"poll_interval" validate:"gt=0"`
	LoadingPollInterval time.Duration `yaml:"loading_poll_interval" validate:"gt=0"`
	// UpdateInterval is the longest time between two broadcasts of a target.
	UpdateInterval time.Duration `yaml:"update_interval" validate:"gt=0"`
	// UnreachableAfter is the silence after which a target is reported unreachable.
	UnreachableAfter time.Duration `yaml:"unreachable_after" validate:"gt=0"`
	// LoadTimeout bounds one load; ShortOrderTimeout any other order.
	LoadTimeout       time.Duration `yaml:"load_timeout" validate:"gt=0"`
	ShortOrderTimeout time.Duration `yaml:"short_order_timeout" validate:"gt=0"`
	// WantTimeout bounds the wait for a slot, memory and budget before a load.
	WantTimeout time.Duration `yaml:"want_timeout" validate:"gt=0"`
	// ObserveTime is how long an order of unknown outcome is watched for
	// before the load is given up on this target.
	ObserveTime time.Duration `yaml:"observe_time" validate:"gt=0"`
	// OrderLifetime is the longest time that an order can still take effect
	// after the process that sent it has died. It matters only for engines
	// that ignore fencing numbers.
	OrderLifetime time.Duration `yaml:"order_lifetime" validate:"gt=0"`
	// RetryInterval is the wait before a failed step is tried again.
	RetryInterval time.Duration `yaml:"retry_interval" validate:"gt=0"`
	// DrainDelay is the wait between the news that a replica drains and its
	// unload order, so that routers hear of it first.
	DrainDelay time.Duration `yaml:"drain_delay" validate:"gte=0"`
	// SurplusGrace is how long a loaded replica beyond its limit waits for
	// unloaded ones to give up their slots first.
	SurplusGrace time.Duration `yaml:"surplus_grace" validate:"gte=0"`
	// KeepAlive is the window after the last request before a replica is
	// unloaded, until the keep-alive policy knows better.
	KeepAlive time.Duration `yaml:"keep_alive" validate:"gt=0"`
	// Budget sets the load budgets.
	Budget BudgetOptions `yaml:"budget"`
	// Costs are used to choose a target for a load.
	Costs placement.Costs `yaml:"costs"`
}

// DefaultOptions returns the settings of a small deployment.
func DefaultOptions() Options {
	return Options{
		PollInterval:        250 * time.Millisecond,
		LoadingPollInterval: 50 * time.Millisecond,
		UpdateInterval:      time.Second,
		UnreachableAfter:    3 * time.Second,
		LoadTimeout:         2 * time.Minute,
		ShortOrderTimeout:   5 * time.Second,
		WantTimeout:         time.Minute,
		ObserveTime:         2 * time.Second,
		OrderLifetime:       30 * time.Second,
		RetryInterval:       250 * time.Millisecond,
		DrainDelay:          100 * time.Millisecond,
		SurplusGrace:        time.Second,
		KeepAlive:           10 * time.Minute,
		Budget:              DefaultBudgetOptions(),
		Costs:               placement.DefaultCosts(),
	}
}

// KeepAlive decides how long an unused replica stays loaded.
type KeepAlive interface {
	// Window returns the time after the last request at which the replica
	// should be unloaded.
	Window(key fleet.ReplicaKey, now time.Time) time.Duration
	// Observe tells the policy of a gap between two requests.
	Observe(key fleet.ReplicaKey, idleGap time.Duration)
	// ObserveLoad tells the policy how long a load took and how many
	// waited for it.
	ObserveLoad(key fleet.ReplicaKey, loadTime time.Duration, waiting int)
}

// FixedKeepAlive is a KeepAlive with one window for all replicas.
type FixedKeepAlive time.Duration

// Window implements KeepAlive.
func (f FixedKeepAlive) Window(fleet.ReplicaKey, time.Time) time.Duration { return time.Duration(f) }

// Observe implements KeepAlive.
func (FixedKeepAlive) Observe(fleet.ReplicaKey, time.Duration) {}

// ObserveLoad implements KeepAlive.
func (FixedKeepAlive) ObserveLoad(fleet.ReplicaKey, time.Duration, int) {}
