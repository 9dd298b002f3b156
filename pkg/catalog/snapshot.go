package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"sync/atomic"

	"almondturn/fleet"
	"almondturn/pkg/fault"
	"almondturn/pkg/platform"
)

// Identity is who a caller's API key stands for.
type Identity struct {
	Team    fleet.Team
	Caller  string
	Service fleet.Service
}

// Replica is what the catalog says of one replica key.
type Replica struct {
	Key         fleet.ReplicaKey
	Team        fleet.Team
	MemoryBytes int64
	MaxReplicas int
	Class       Class
	IdleWeight  float64
}

// Snapshot is an immutable, indexed copy of the catalog. All lookups are O(1).
type Snapshot struct {
	// Revisions is the revision in force of each team's subtree.
	Revisions map[fleet.Team]platform.Revision

	teams    map[fleet.Team]*TeamSpec
	services map[fleet.Service]serviceEntry
	keys     map[string]Identity
	replicas map[fleet.ReplicaKey]Replica
}

type serviceEntry struct {
	team fleet.Team
	spec *ServiceSpec
}

// Build indexes the given subtrees, which must have been checked.
func Build(teams []*TeamSpec, revisions map[fleet.Team]platform.Revision) *Snapshot {
	s := &Snapshot{
		Revisions: revisions,
		teams:     map[fleet.Team]*TeamSpec{},
		services:  map[fleet.Service]serviceEntry{},
		keys:      map[string]Identity{},
		replicas:  map[fleet.ReplicaKey]Replica{},
	}
	for _, t := range teams {
		s.addTeam(t)
	}
	return s
}

func (s *Snapshot) addTeam(t *TeamSpec) {
	s.teams[t.Team] = t
	for _, c := range t.Callers {
		s.keys[c.KeyHash] = Identity{Team: t.Team, Caller: c.Name, Service: c.Service}
	}
	for i := range t.Services {
		svc := &t.Services[i]
		s.services[svc.Name] = serviceEntry{team: t.Team, spec: svc}
		for _, m := range svc.Models {
			s.addModel(t.Team, svc, m)
		}
	}
}

func (s *Snapshot) addModel(team fleet.Team, svc *ServiceSpec, m ModelSpec) {
	base := Replica{
		Key:         fleet.ReplicaKey{Service: svc.Name, Model: m.Name, Version: m.Version},
		Team:        team,
		MemoryBytes: m.MemoryBytes,
		MaxReplicas: m.MaxReplicas,
		Class:       svc.Class,
		IdleWeight:  svc.IdleWeight,
	}
	s.replicas[base.Key] = base
	for _, a := range m.Adapters {
		r := base
		r.Key.Adapter = a.Name
		r.MemoryBytes = a.MemoryBytes
		r.MaxReplicas = a.MaxReplicas
		s.replicas[r.Key] = r
	}
}

// HashKey returns the digest under which the catalog keeps an API key or token.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Identify returns whom an API key stands for.
func (s *Snapshot) Identify(apiKey string) (Identity, bool) {
	id, ok := s.keys[HashKey(apiKey)]
	return id, ok
}

// Team returns one team's subtree.
func (s *Snapshot) Team(t fleet.Team) (*TeamSpec, bool) {
	spec, ok := s.teams[t]
	return spec, ok
}

// Teams returns the number of teams.
func (s *Snapshot) Teams() int { return len(s.teams) }

// Service returns a service and its team.
func (s *Snapshot) Service(name fleet.Service) (*ServiceSpec, fleet.Team, bool) {
	e, ok := s.services[name]
	return e.spec, e.team, ok
}

// Replica returns what the catalog says of a key; false when no service may use it.
func (s *Snapshot) Replica(k fleet.ReplicaKey) (Replica, bool) {
	r, ok := s.replicas[k]
	return r, ok
}

// Replicas calls f for each replica key until f returns false.
func (s *Snapshot) Replicas(f func(Replica) bool) {
	for _, r := range s.replicas {
		if !f(r) {
			return
		}
	}
}

// Resolve turns the model field of a request, model[@version][+adapter],
// into a replica of the service. Without a version the last declared
// version of that model is taken. Errors are of kind UnknownModel.
func (s *Snapshot) Resolve(service fleet.Service, field string) (Replica, error) {
	key, err := fleet.ParseReplicaKey(string(service) + "/" + field)
	if err != nil {
		return Replica{}, fault.New(fault.UnknownModel, "model %q: want model[@version][+adapter]", field)
	}
	if r, ok := s.replicas[key]; ok {
		return r, nil
	}
	svc, ok := s.services[service]
	if !ok {
		return Replica{}, fault.New(fault.UnknownService, "service %q does not exist", service)
	}
	if key.Version == "" {
		for i := len(svc.spec.Models) - 1; i >= 0; i-- {
			if svc.spec.Models[i].Name != key.Model {
				continue
			}
			key.Version = svc.spec.Models[i].Version
			if r, ok := s.replicas[key]; ok {
				return r, nil
			}
		}
	}
	return Replica{}, fault.New(fault.UnknownModel, "service %q may not use model %q; it may use %s", service, field, strings.Join(modelNames(svc.spec), ", "))
}

// maxNamesInError bounds the list of models in an error message.
const maxNamesInError = 20

func modelNames(svc *ServiceSpec) []string {
	var out []string
	for _, m := range svc.Models {
		if len(out) == maxNamesInError {
			return append(out, "...")
		}
		name := m.Name
		if m.Version != "" {
			name += "@" + m.Version
		}
		out = append(out, name)
	}
	return out
}

// Idempotent tells whether a call of a plain service may be repeated.
func (svc *ServiceSpec) Idempotent(method, path string) bool {
	for _, c := range svc.Calls {
		if (c.Method == method || c.Method == "*") && strings.HasPrefix(path, c.PathPrefix) {
			return c.Idempotent
		}
	}
	return false
}

// Store holds the snapshot in force for readers without locks.
type Store struct {
	current atomic.Pointer[Snapshot]
}

// Load returns the snapshot in force; never nil.
func (s *Store) Load() *Snapshot {
	if snap := s.current.Load(); snap != nil {
		return snap
	}
	return Build(nil, nil)
}

// Swap puts a snapshot in force.
func (s *Store) Swap(snap *Snapshot) { s.current.Store(snap) }
