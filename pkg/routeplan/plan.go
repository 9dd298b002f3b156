// Package routeplan holds the explanation of where a node would send a request that is not
// sent: its typed form, its text, and the query that names the request. The node decides; this
// package reads no state.
package routeplan

import (
	"fmt"
	"net/url"
	"strconv"
)

// Path is where a node serves explanations, beside its metrics.
const Path = "/route-plan"

// Names of the parameters of a query.
const (
	paramHost         = "host"
	paramPath         = "path"
	paramMethod       = "method"
	paramRoute        = "route"
	paramRequest      = "request"
	paramModel        = "model"
	paramAdapter      = "adapter"
	paramInputTokens  = "input_tokens"
	paramOutputTokens = "output_tokens"
	paramCustomer     = "customer"
)

// Query names a request. It has the name of a customer in place of an API key.
type Query struct {
	Host   string `json:"host,omitempty"`
	Path   string `json:"path,omitempty"`
	Method string `json:"method,omitempty"`
	// Route is the name of a route, in place of Host and Path.
	Route string `json:"route,omitempty"`
	// Request is the identifier of the request, which decides among several services.
	Request      string `json:"request,omitempty"`
	Model        string `json:"model,omitempty"`
	Adapter      string `json:"adapter,omitempty"`
	InputTokens  int    `json:"input_tokens,omitempty"`
	OutputTokens int    `json:"output_tokens,omitempty"`
	Customer     string `json:"customer,omitempty"`
}

// Values returns the query as parameters of Path.
func (q *Query) Values() url.Values {
	v := url.Values{}
	set := func(name, value string) {
		if value != "" {
			v.Set(name, value)
		}
	}
	setNumber := func(name string, value int) {
		if value != 0 {
			v.Set(name, strconv.Itoa(value))
		}
	}
	set(paramHost, q.Host)
	set(paramPath, q.Path)
	set(paramMethod, q.Method)
	set(paramRoute, q.Route)
	set(paramRequest, q.Request)
	set(paramModel, q.Model)
	set(paramAdapter, q.Adapter)
	setNumber(paramInputTokens, q.InputTokens)
	setNumber(paramOutputTokens, q.OutputTokens)
	set(paramCustomer, q.Customer)
	return v
}

// maxTokens is the greatest number of tokens of a query, far above that of any request.
const maxTokens = 1 << 30

// ParseQuery returns the query in parameters of Path. It returns an error for an unknown
// parameter, an invalid number, or a query that names no route, host or path.
func ParseQuery(v url.Values) (Query, error) {
	var q Query
	texts := map[string]*string{
		paramHost: &q.Host, paramPath: &q.Path, paramMethod: &q.Method, paramRoute: &q.Route, paramRequest: &q.Request,
		paramModel: &q.Model, paramAdapter: &q.Adapter, paramCustomer: &q.Customer,
	}
	numbers := map[string]*int{paramInputTokens: &q.InputTokens, paramOutputTokens: &q.OutputTokens}
	for name := range v {
		value := v.Get(name)
		if text := texts[name]; text != nil {
			*text = value
			continue
		}
		number := numbers[name]
		if number == nil {
			return Query{}, fmt.Errorf("unknown parameter %.40q", name)
		}
		n, err := strconv.Atoi(value)
		if err != nil || n < 0 || n > maxTokens {
			return Query{}, fmt.Errorf("%s must be a number from 0 to %d", name, maxTokens)
		}
		*number = n
	}
	if q.Route == "" && (q.Host == "" || q.Path == "") {
		return Query{}, fmt.Errorf("%s and %s, or %s, must be set", paramHost, paramPath, paramRoute)
	}
	return q, nil
}

// UnknownAge is the age in milliseconds of a state that the node does not have.
const UnknownAge = -1

// Plan is what the node would do with the request now.
type Plan struct {
	Node  string `json:"node"`
	Zone  string `json:"zone"`
	Ready bool   `json:"ready"`
	Query Query  `json:"query"`
	// Configuration and List are the states that the plan rests on.
	Configuration State `json:"configuration"`
	List          State `json:"target_list"`
	// Route is nil if the request has none.
	Route *Route `json:"route,omitempty"`
	// Customer is nil for a request without a customer.
	Customer *Customer `json:"customer,omitempty"`
	Service  string    `json:"service,omitempty"`
	// Engine is true if the owners of zones choose the target.
	Engine bool `json:"engine,omitempty"`
	// Zones holds the zones in the order in which the request tries them. For a plain service
	// the order has no meaning.
	Zones []Zone `json:"zones,omitempty"`
	// Targets holds the targets in the order of preference, LeftOut those that get no request.
	Targets []Target  `json:"targets,omitempty"`
	LeftOut []LeftOut `json:"left_out,omitempty"`
	// Refusal is why the request would be rejected at once, empty if it would not.
	Refusal string `json:"refusal,omitempty"`
	// Notes are the limits of this explanation.
	Notes []string `json:"notes,omitempty"`
}

// State is a copy of entries of the key-value service.
type State struct {
	// Version is that of the configuration, and InForceMillis since when it is in force; both
	// are 0 for the list of targets.
	Version       int64 `json:"version,omitempty"`
	InForceMillis int64 `json:"in_force_ms,omitempty"`
	// AgeMillis is how long ago the copy is known to have been complete.
	AgeMillis int64 `json:"age_ms"`
}

// Route is the route of the request.
type Route struct {
	Name            string `json:"name"`
	Kind            string `json:"kind"`
	TimeoutMillis   int64  `json:"timeout_ms"`
	ObjectiveMillis int64  `json:"objective_ms"`
	MaxAttempts     int    `json:"max_attempts"`
	Resumable       bool   `json:"resumable,omitempty"`
	// Priority is that of the route. Rank is the priority at queues, to which that of the
	// customer contributes.
	Priority int       `json:"priority"`
	Rank     int       `json:"rank"`
	Services []Backend `json:"services"`
}

// Backend is a service of a route.
type Backend struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Customer is the customer of the request and its quota at this node.
type Customer struct {
	Name    string `json:"name"`
	Limited bool   `json:"limited"`
	// Priority is nil if the customer has none of its own.
	Priority *int `json:"priority,omitempty"`
	// PerSecond and Burst are the quota over all nodes, Cost what the request counts, all in
	// Unit.
	Unit      string  `json:"unit,omitempty"`
	PerSecond float64 `json:"per_second,omitempty"`
	Burst     float64 `json:"burst,omitempty"`
	Cost      float64 `json:"cost,omitempty"`
	// Held is what the node holds under leases, Missing what the request lacks.
	Held    float64 `json:"held"`
	Missing float64 `json:"missing,omitempty"`
	// AsksZones holds the zones whose owners would be asked for the missing tokens, in order.
	AsksZones []string `json:"asks_zones,omitempty"`
	// LastDenial is nil if the owners have denied nothing.
	LastDenial *Denial `json:"last_denial,omitempty"`
}

// Denial is a denial of tokens by the owners.
type Denial struct {
	AgeMillis int64   `json:"age_ms"`
	Missing   float64 `json:"missing"`
	// RetryAfterMillis is the time left until tokens were expected, 0 if it is over.
	RetryAfterMillis int64 `json:"retry_after_ms"`
	// InForce is true if the request would be rejected without asking.
	InForce bool `json:"in_force"`
}

// Zone is one availability zone as a request for a slot sees it.
type Zone struct {
	Zone string `json:"zone"`
	// Reason is why the zone has its place in the order, empty for a plain service.
	Reason string `json:"reason,omitempty"`
	// BacklogSteps and Weight decide among zones with the same reason; the lower backlog and
	// the higher weight come first.
	BacklogSteps int    `json:"backlog_steps,omitempty"`
	Weight       uint64 `json:"weight,omitempty"`
	// Owner is empty if none is known. Reachable is true if a request could be sent to it now;
	// DownMillis is since when not.
	Owner      string `json:"owner,omitempty"`
	Reachable  bool   `json:"reachable"`
	DownMillis int64  `json:"down_ms,omitempty"`
	// AgeMillis is how long ago the owner sent its state, UnknownAge without one.
	AgeMillis         int64 `json:"age_ms"`
	OrdersAfterMillis int64 `json:"orders_after_ms,omitempty"`
	// View is what the owner would find, nil unless the node that is asked is the owner.
	View *View `json:"view,omitempty"`
}

// View is what a request would find at the owner of a zone.
type View struct {
	// Waiting is the number of requests that wait for the model.
	Waiting int `json:"waiting"`
	// AgeMillis is the age of the list of targets with the model.
	AgeMillis int64 `json:"age_ms"`
	// Targets holds those at which the request can start in the order of preference, and then
	// the others.
	Targets []Candidate `json:"targets"`
}

// Candidate is a target that has the model or is to load it.
type Candidate struct {
	Target string `json:"target"`
	// Cost is the work there, in requests, at the target's pace.
	Cost                 float64 `json:"cost"`
	Running              int     `json:"running"`
	Slots                int     `json:"slots"`
	PendingPrefillTokens int     `json:"pending_prefill_tokens"`
	// Obstacle is why the request can't start there now, empty if it can.
	Obstacle string `json:"obstacle,omitempty"`
}

// Target is a target that may get the request.
type Target struct {
	Target string `json:"target"`
	Zone   string `json:"zone"`
	// Cost is the sum of Load, Failures, OtherZone and Unreachable; the lowest comes first.
	Cost        float64 `json:"cost"`
	Load        float64 `json:"load"`
	Failures    float64 `json:"failures"`
	OtherZone   float64 `json:"other_zone"`
	Unreachable float64 `json:"unreachable"`
	// InFlight is the number of this node's requests there, Others that of other nodes that
	// counts, and Slots the number of slots.
	InFlight int     `json:"in_flight"`
	Others   float64 `json:"others"`
	Slots    int     `json:"slots"`
	// ReportAgeMillis is the age of the target's last report of its load, UnknownAge for none.
	ReportAgeMillis int64 `json:"report_age_ms"`
	// Pace is the factor of the usual duration, nil if the target reports none.
	Pace *float64 `json:"pace,omitempty"`
	// Limit is nil if the target names no rate limit.
	Limit *Limit `json:"limit,omitempty"`
}

// Limit is the rate limit that a target names. A request needs a permit of the zone's owner or,
// if that does not respond, of the node's share.
type Limit struct {
	PerSecond float64 `json:"per_second"`
	AgeMillis int64   `json:"age_ms"`
	// ShareWaitMillis is the time until the node's share allows a request, UnknownAge if the
	// share was not used yet.
	ShareWaitMillis int64 `json:"share_wait_ms"`
}

// LeftOut is a target that gets no request.
type LeftOut struct {
	Target string `json:"target"`
	Zone   string `json:"zone"`
	Reason string `json:"reason"`
	// AgeMillis is how long ago the reason became known, UnknownAge if it comes from the list.
	AgeMillis int64 `json:"age_ms"`
}
