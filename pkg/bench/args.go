// Package bench implements the command "almondturnctl bench". It sends load to a
// deployment, and for comparison directly to a target, and measures the rates,
// latencies and errors that callers see. With --trial it starts a local cluster in
// its own process and measures that.
package bench

import (
	"errors"
	"fmt"
	"time"
)

// Shape is the course of the load over time.
type Shape string

// The shapes of load.
const (
	// ShapeSteady sends to loaded models at a constant mean rate.
	ShapeSteady Shape = "steady"
	// ShapeIdle sends one request to each model, one model after another, to
	// measure the cold start of models that had no load.
	ShapeIdle Shape = "idle"
	// ShapeBurst sends all requests at the same time, spread over all models and
	// nodes. Args.Rate is their number.
	ShapeBurst Shape = "burst"
	// ShapeOverload sends to loaded models at 1, 2, 3 and 5 times the rate, one
	// step after another.
	ShapeOverload Shape = "overload"
)

// Args are the arguments of the command. They are part of the JSON report, under
// the names of the fields.
type Args struct {
	URL      []string      `arg:"--url,separate" placeholder:"URL" help:"callers' listener of a node; repeat it for all nodes"`
	Direct   string        `arg:"--direct" placeholder:"URL" help:"address of a target, to measure it directly in the same run for comparison"`
	Key      string        `arg:"--key" default:"dev-listing-key" help:"API key"`
	Service  string        `arg:"--service" default:"listing" help:"service of the models of the local cluster"`
	Model    []string      `arg:"--model,separate" help:"model field of requests; repeat it for several"`
	Shape    Shape         `arg:"--shape" default:"steady" help:"steady, idle, burst or overload"`
	Rate     float64       `arg:"--rate" default:"100" help:"mean rate of an open loop, in requests per second; for the shape burst, the number of requests"`
	Duration time.Duration `arg:"--duration" default:"10s" help:"duration of the load"`
	Tokens   int           `arg:"--tokens" default:"16" help:"tokens per response"`
	Timeout  time.Duration `arg:"--timeout" default:"30s" help:"timeout of a request"`
	Seed     uint64        `arg:"--seed" default:"1" help:"seed of the arrival times"`
	Limit    int           `arg:"--limit" default:"4096" help:"maximum of concurrent requests; more are not sent and counted as dropped_here"`

	Trial         bool          `arg:"--trial" help:"start a local cluster of stand-ins and nodes in this process and send the load to it"`
	Zones         int           `arg:"--zones" default:"3" help:"number of zones of the local cluster"`
	Nodes         int           `arg:"--nodes" default:"3" help:"number of nodes per zone of the local cluster"`
	Engines       int           `arg:"--engines" default:"2" help:"number of engines per zone of the local cluster"`
	MaxRunning    int           `arg:"--max-running" default:"64" help:"concurrent requests per engine of the local cluster"`
	Replicas      int           `arg:"--replicas" default:"2" help:"maximum of replicas of each model of the local cluster"`
	Models        int           `arg:"--models" default:"1" help:"number of models of the local cluster"`
	TokenInterval time.Duration `arg:"--token-interval" default:"2ms" help:"time between tokens in the engines of the local cluster"`
	LoadTime      time.Duration `arg:"--load-time" default:"500ms" help:"load time of a model from the weight store of the local cluster"`

	JSON    string   `arg:"--json" placeholder:"FILE" help:"write the report as JSON"`
	Plot    string   `arg:"--plot" placeholder:"FILE" help:"write latency curves as .svg or .png"`
	Compare []string `arg:"--compare,separate" placeholder:"FILE" help:"compare two JSON reports instead of sending load; give it twice"`
	Profile string   `arg:"--profile" placeholder:"FILE" help:"write a CPU profile of the load"`
}

// validate returns an error if the shape, the number of reports to compare, the rate,
// the duration, the number of tokens, the timeout or the limit is invalid, or a
// required argument is missing. It doesn't check the arguments of the local cluster.
func (a *Args) validate() error {
	switch a.Shape {
	case ShapeSteady, ShapeIdle, ShapeBurst, ShapeOverload:
	default:
		return fmt.Errorf("--shape is %q, want steady, idle, burst or overload", a.Shape)
	}
	if len(a.Compare) != 0 && len(a.Compare) != 2 {
		return errors.New("--compare must be given twice: first the earlier report, then the later one")
	}
	if len(a.Compare) == 0 && !a.Trial && len(a.URL) == 0 {
		return errors.New("--url or --trial is required")
	}
	if !a.Trial && len(a.Model) == 0 && len(a.Compare) == 0 {
		return errors.New("--model is required without --trial")
	}
	if a.Rate <= 0 || a.Duration <= 0 || a.Tokens <= 0 || a.Limit <= 0 || a.Timeout <= 0 {
		return errors.New("--rate, --duration, --tokens, --timeout and --limit must be greater than 0")
	}
	return nil
}
