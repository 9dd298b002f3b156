package teams

import (
	"time"

	"almondturn/fleet"
	"almondturn/pkg/route"
)

// Figures of routes that no subtree names.
const (
	// maxTimeout ends a request whatever its caller asks for.
	maxTimeout = time.Hour
	// maxAttempts is the number of targets that a request which may be
	// repeated runs on.
	maxAttempts = 3
	// eventGap is the longest pause between two tokens that is on time.
	maxEventInterval = 300 * time.Millisecond
	// bytesPerMB turns the memory of subtrees into that of route.Engine.
	bytesPerMB = 1 << 20
)

// objectives are the latency objectives of the classes.
var latencyObjectives = map[Class]time.Duration{
	ClassInteractive: 1300 * time.Millisecond,
	ClassStandard:    10 * time.Second,
	ClassBatch:       time.Minute,
}

// Table returns the services and limits of all teams as a node works with
// them. The snapshot is its extension.
func (s *Snapshot) Table(version int64, revision uint64) *route.Table {
	services := make(map[string]*route.Service, len(s.services))
	for name, x := range s.services {
		services[string(name)] = x.routeService()
	}
	t := route.NewTable(version, nil, services, route.Limits{})
	t.Revision = revision
	t.Drained = s.Drained
	t.Extension = s
	return t
}

// SnapshotOf returns the snapshot that a table was made of, nil for none.
func SnapshotOf(t *route.Table) *Snapshot {
	s, _ := t.Extension.(*Snapshot)
	return s
}

func (x *serviceIndex) routeService() *route.Service {
	out := &route.Service{Name: string(x.spec.Name)}
	e := x.spec.Engine
	if e == nil {
		return out
	}
	out.Engine = &route.Engine{
		Slots: e.Requests, CacheTokens: e.CacheTokens, WeightsMB: megabytes(e.MemoryBytes), AdapterSlots: e.Adapters,
		LoadsPerSecond: e.LoadsPerSecond, IdleWeight: x.spec.IdleWeight, Models: make(map[string]*route.Model, len(x.spec.Models)),
	}
	for i := range x.spec.Models {
		m := x.spec.Models[i].routeModel(e)
		out.Engine.Models[m.Name] = m
	}
	return out
}

func (m *ModelSpec) routeModel(e *EngineSpec) *route.Model {
	out := &route.Model{
		Name: modelName(m), WeightsMB: megabytes(m.MemoryBytes), Replicas: route.AtMost(m.MaxReplicas),
		LoadTime: seconds(e.StoreSeconds), DiskLoadTime: seconds(e.DiskSeconds), MemoryLoadTime: seconds(e.MemorySeconds),
		AdapterReplicas: make(map[string]route.Limit, len(m.Adapters)),
	}
	for _, a := range m.Adapters {
		out.AdapterMB = max(out.AdapterMB, megabytes(a.MemoryBytes))
		out.AdapterReplicas[a.Name] = route.AtMost(a.MaxReplicas)
	}
	return out
}

func megabytes(bytes int64) float64 { return float64(bytes) / bytesPerMB }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// ModelRoute returns the route of requests for models of a service.
func (svc *ServiceSpec) ModelRoute(class Class) *route.Route {
	return &route.Route{
		Name: string(svc.Name), Kind: route.Stream, Timeout: maxTimeout, Objective: latencyObjectives[class], MaxEventInterval: maxEventInterval,
		Priority: int(class), MaxAttempts: maxAttempts, Resumable: true, Backends: svc.backends(),
	}
}

// CallRoute returns the route of calls of a plain service.
func (svc *ServiceSpec) CallRoute(class Class, idempotent bool) *route.Route {
	r := &route.Route{
		Name: string(svc.Name), Kind: route.Unsafe, Timeout: maxTimeout, Objective: latencyObjectives[class],
		Priority: int(class), MaxAttempts: 1, Backends: svc.backends(),
	}
	if idempotent {
		r.Kind, r.MaxAttempts = route.Safe, maxAttempts
	}
	return r
}

func (svc *ServiceSpec) backends() []route.Backend {
	return []route.Backend{{Service: string(svc.Name), Weight: 1}}
}

// TargetModel returns the name by which targets know the model of a replica.
func TargetModel(k fleet.ReplicaKey) string {
	if k.Version == "" {
		return k.Model
	}
	return k.Model + "@" + k.Version
}
