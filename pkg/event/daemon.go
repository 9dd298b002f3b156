package event

import "github.com/rs/zerolog"

// Events of the daemon and its listeners: 100 to 199.
var (
	DaemonStarted  = register(100, "daemon_started", zerolog.InfoLevel, "The process has opened its listeners and serves.")
	DaemonStopping = register(101, "daemon_stopping", zerolog.InfoLevel, "A graceful shutdown has begun; readiness is off.")
	DaemonStopped  = register(102, "daemon_stopped", zerolog.InfoLevel, "All requests have finished and the process exits.")
	RequestFailed  = register(110, "request_failed", zerolog.WarnLevel, "A request ended with an error; the fields kind and run tell which and whether it was run.")
)
