package catalog

import "github.com/VictoriaMetrics/metrics"

var (
	installs     = metrics.NewCounter("almondturn_catalog_installs_total")
	alarms       = metrics.NewCounter("almondturn_catalog_older_alarms_total")
	fetchedBytes = metrics.NewCounter("almondturn_catalog_fetched_bytes_total")
	watchMisses  = metrics.NewCounter("almondturn_catalog_watch_misses_total")
	exchanges    = metrics.NewCounter("almondturn_catalog_exchanges_total")
)
