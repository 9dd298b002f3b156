package teams

import (
	"time"

	"almondturn/fleet"
	"almondturn/pkg/kv"
	"almondturn/pkg/route"
)

// Properties of routes that subtrees do not set, and a unit of memory.
const (
	// maxTimeout is the longest time that a request may take, whatever timeout its
	// caller asks for.
	maxTimeout = time.Hour
	// maxAttempts is the MaxAttempts in route.Route of idempotent requests.
	maxAttempts = 3
	// maxEventInterval is the longest interval between two events of a stream that
	// counts as on time.
	maxEventInterval = 300 * time.Millisecond
	// bytesPerMB converts the memory in subtrees to that in route.Engine.
	bytesPerMB = 1 << 20
)

// latencyObjectives holds the latency objective of each priority class.
var latencyObjectives = map[Class]time.Duration{
	ClassInteractive: 1300 * time.Millisecond,
	ClassStandard:    10 * time.Second,
	ClassBatch:       time.Minute,
}

// Table returns the services of all teams with their replica limits as a node uses
// them, with the given version and revision. The snapshot is the table's Extension.
func (s *Snapshot) Table(version int64, revision kv.Revision) *route.Table {
	services := make(map[string]*route.Service, len(s.services))
	for name, x := range s.services {
		services[string(name)] = x.routeService()
	}
	t := route.NewTable(version, nil, services, route.RequestLimits{})
	t.Revision = revision
	t.Drained = s.Drained
	t.Extension = s
	return t
}

// SnapshotOf returns the snapshot from which a table was made, nil if there is none.
func SnapshotOf(t *route.Table) *Snapshot {
	s, _ := t.Extension.(*Snapshot)
	return s
}

// routeService returns the service as a node uses it.
func (x *serviceIndex) routeService() *route.Service {
	out := &route.Service{Name: string(x.spec.Name)}
	engine := x.spec.Engine
	if engine == nil {
		return out
	}
	out.Engine = &route.Engine{
		Slots: engine.MaxRequests, CacheTokens: engine.CacheTokens, WeightsMB: megabytes(engine.MemoryBytes), AdapterSlots: engine.MaxAdapters,
		LoadsPerSecond: engine.LoadsPerSecond, IdleWeight: x.spec.IdleWeight, Models: make(map[string]*route.Model, len(x.spec.Models)),
	}
	for i := range x.spec.Models {
		m := x.spec.Models[i].routeModel(engine)
		out.Engine.Models[m.Name] = m
	}
	return out
}

// routeModel returns the model as a node uses it, with the load times of the service's
// targets. AdapterMB is the memory of the largest adapter.
func (m *ModelSpec) routeModel(e *EngineSpec) *route.Model {
	out := &route.Model{
		Name: modelName(m), WeightsMB: megabytes(m.MemoryBytes), Replicas: route.AtMost(m.MaxReplicas),
		WeightStoreLoadTime: seconds(e.StoreSeconds), DiskLoadTime: seconds(e.DiskSeconds), MemoryLoadTime: seconds(e.MemorySeconds),
		AdapterReplicas: make(map[string]route.ReplicaLimit, len(m.Adapters)),
	}
	for _, a := range m.Adapters {
		out.AdapterMB = max(out.AdapterMB, megabytes(a.MemoryBytes))
		out.AdapterReplicas[a.Name] = route.AtMost(a.MaxReplicas)
	}
	return out
}

// megabytes converts bytes to units of 1 << 20 bytes.
func megabytes(bytes int64) float64 { return float64(bytes) / bytesPerMB }

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// ModelRoute returns the route of completions by the models of a service.
func (svc *ServiceSpec) ModelRoute(class Class) *route.Route {
	return &route.Route{
		Name: string(svc.Name), Kind: route.Stream, Timeout: maxTimeout, LatencyObjective: latencyObjectives[class], MaxEventInterval: maxEventInterval,
		Priority: int(class), MaxAttempts: maxAttempts, Resumable: true, Backends: svc.backends(),
	}
}

// CallRoute returns the route of calls of a plain service. Calls that are not
// idempotent have a single attempt.
func (svc *ServiceSpec) CallRoute(class Class, idempotent bool) *route.Route {
	r := &route.Route{
		Name: string(svc.Name), Kind: route.Unsafe, Timeout: maxTimeout, LatencyObjective: latencyObjectives[class],
		Priority: int(class), MaxAttempts: 1, Backends: svc.backends(),
	}
	if idempotent {
		r.Kind, r.MaxAttempts = route.Safe, maxAttempts
	}
	return r
}

// backends returns the only backend of the service's routes: the service itself.
func (svc *ServiceSpec) backends() []route.Backend {
	return []route.Backend{{Service: string(svc.Name), Weight: 1}}
}

// TargetModel returns the name that targets use for the model of a replica,
// model[@version].
func TargetModel(k fleet.ReplicaKey) string {
	if k.Version == "" {
		return k.Model
	}
	return k.Model + "@" + k.Version
}
