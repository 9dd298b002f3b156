package catalog

import "time"

// Options are a node's settings for the catalog.
type Options struct {
	// WatchersPerZone is the number of nodes of each zone that watch the
	// key-value service; the others hear from peers.
	WatchersPerZone int `yaml:"watchers_per_zone" validate:"min=1,max=16"`
	// PollInterval is the time between two lists of all heads over the whole
	// deployment; its watchers take turns. A poll finds what a silent watch
	// missed.
	PollInterval time.Duration `yaml:"poll_interval" validate:"min=100ms"`
	// PlatformRetry is the wait after a failed call to the key-value service.
	PlatformRetry time.Duration `yaml:"platform_retry" validate:"min=10ms"`
	// PlatformTimeout bounds one call to the key-value service.
	PlatformTimeout time.Duration `yaml:"platform_timeout" validate:"min=10ms"`
	// ExchangeInterval is the time between two comparisons of revisions
	// with peers.
	ExchangeInterval time.Duration `yaml:"exchange_interval" validate:"min=10ms"`
	// ExchangePeers is the number of peers compared with at a time.
	ExchangePeers int `yaml:"exchange_peers" validate:"min=1,max=64"`
	// PeerTimeout bounds one call to a peer.
	PeerTimeout time.Duration `yaml:"peer_timeout" validate:"min=10ms"`
	// StartupWait is how long a starting node waits for a peer before it
	// trusts the key-value service alone.
	StartupWait time.Duration `yaml:"startup_wait" validate:"min=0"`
	// MaxPushBytes is the size up to which a new head is sent to peers
	// together with its new chunks.
	MaxPushBytes int `yaml:"max_push_bytes" validate:"min=0"`
	// MaxAnswerBytes bounds the chunks in one answer to a peer.
	MaxAnswerBytes int `yaml:"max_answer_bytes" validate:"min=65536"`
	// MaxSingleReads is the number of missing chunks that are read one by
	// one; more are listed with one call.
	MaxSingleReads int `yaml:"max_single_reads" validate:"min=0"`
	// CollectEvery is the number of accepted changes of a team between two
	// removals of its unreferenced chunks.
	CollectEvery int `yaml:"collect_every" validate:"min=1"`
	// WriteRetry is the first wait before an interrupted write is settled;
	// it doubles up to a second.
	WriteRetry time.Duration `yaml:"write_retry" validate:"min=1ms"`
}

// DefaultOptions returns the settings for today's sizes.
func DefaultOptions() Options {
	return Options{
		WatchersPerZone:  2,
		PollInterval:     5 * time.Second,
		PlatformRetry:    2 * time.Second,
		PlatformTimeout:  5 * time.Second,
		ExchangeInterval: 2 * time.Second,
		ExchangePeers:    8,
		PeerTimeout:      time.Second,
		StartupWait:      2 * time.Second,
		MaxPushBytes:     128 << 10,
		MaxAnswerBytes:   256 << 10,
		MaxSingleReads:   8,
		CollectEvery:     16,
		WriteRetry:       50 * time.Millisecond,
	}
}
