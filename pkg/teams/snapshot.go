package teams

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"strings"

	"almondturn/fleet"
	"almondturn/pkg/fault"
)

// Identity is who a caller's API key stands for.
type Identity struct {
	Team    fleet.Team
	Caller  string
	Service fleet.Service
}

// Replica is what the subtrees say of one replica key.
type Replica struct {
	Key         fleet.ReplicaKey
	Team        fleet.Team
	MemoryBytes int64
	MaxReplicas int
	Class       Class
	IdleWeight  float64
}

// Snapshot is an immutable, indexed copy of all teams' subtrees. All lookups
// are O(1).
type Snapshot struct {
	// Revisions is the revision in force of each team's subtree.
	Revisions map[fleet.Team]uint64
	// Drained are the targets that operators have drained.
	Drained map[string]bool

	teams    map[fleet.Team]*teamIndex
	services map[fleet.Service]*serviceIndex
	keys     map[string]Identity
}

type teamIndex struct {
	spec     *TeamSpec
	services []*serviceIndex
}

type serviceIndex struct {
	team     fleet.Team
	spec     *ServiceSpec
	replicas map[fleet.ReplicaKey]Replica
}

// NewSnapshot indexes the given subtrees, which must have been checked. revisions
// may be nil.
func NewSnapshot(teams []*TeamSpec, revisions map[fleet.Team]uint64) *Snapshot {
	indexes := make(map[fleet.Team]*teamIndex, len(teams))
	for _, t := range teams {
		indexes[t.Team] = indexTeam(t)
	}
	return joinTeams(indexes, revisions)
}

// assemble joins the teams' indexes. While a service moves from one team to
// another, a node may for a moment hold it under both; then the first team
// by name keeps it, so that every node with the same subtrees agrees.
func joinTeams(indexes map[fleet.Team]*teamIndex, revisions map[fleet.Team]uint64) *Snapshot {
	s := &Snapshot{
		Revisions: revisions,
		teams:     indexes,
		services:  map[fleet.Service]*serviceIndex{},
		keys:      map[string]Identity{},
	}
	for _, team := range slices.Sorted(maps.Keys(indexes)) {
		s.addTeam(indexes[team])
	}
	return s
}

func (s *Snapshot) addTeam(t *teamIndex) {
	for _, svc := range t.services {
		if _, taken := s.services[svc.spec.Name]; !taken {
			s.services[svc.spec.Name] = svc
		}
	}
	for _, c := range t.spec.Callers {
		if _, taken := s.keys[c.KeyHash]; !taken {
			s.keys[c.KeyHash] = Identity{Team: t.spec.Team, Caller: c.Name, Service: c.Service}
		}
	}
}

func indexTeam(t *TeamSpec) *teamIndex {
	index := &teamIndex{spec: t, services: make([]*serviceIndex, len(t.Services))}
	for i := range t.Services {
		index.services[i] = indexService(t.Team, &t.Services[i])
	}
	return index
}

func indexService(team fleet.Team, svc *ServiceSpec) *serviceIndex {
	size := len(svc.Models)
	for i := range svc.Models {
		size += len(svc.Models[i].Adapters)
	}
	index := &serviceIndex{team: team, spec: svc, replicas: make(map[fleet.ReplicaKey]Replica, size)}
	for i := range svc.Models {
		index.addModel(&svc.Models[i])
	}
	return index
}

func (x *serviceIndex) addModel(m *ModelSpec) {
	base := Replica{
		Key:         fleet.ReplicaKey{Service: x.spec.Name, Model: m.Name, Version: m.Version},
		Team:        x.team,
		MemoryBytes: m.MemoryBytes,
		MaxReplicas: m.MaxReplicas,
		Class:       x.spec.Class,
		IdleWeight:  x.spec.IdleWeight,
	}
	x.replicas[base.Key] = base
	for _, a := range m.Adapters {
		r := base
		r.Key.Adapter = a.Name
		r.MemoryBytes = a.MemoryBytes
		r.MaxReplicas = a.MaxReplicas
		x.replicas[r.Key] = r
	}
}

// HashKey returns the digest under which a subtree names an API key or token.
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
	index, ok := s.teams[t]
	if !ok {
		return nil, false
	}
	return index.spec, true
}

// Teams returns the number of teams.
func (s *Snapshot) Teams() int { return len(s.teams) }

// Service returns a service and its team.
func (s *Snapshot) Service(name fleet.Service) (*ServiceSpec, fleet.Team, bool) {
	x, ok := s.services[name]
	if !ok {
		return nil, "", false
	}
	return x.spec, x.team, true
}

// Replica returns what the subtrees say of a key; false when no service may use it.
func (s *Snapshot) Replica(k fleet.ReplicaKey) (Replica, bool) {
	x, ok := s.services[k.Service]
	if !ok {
		return Replica{}, false
	}
	r, ok := x.replicas[k]
	return r, ok
}

// Resolve turns the model field of a request, model[@version][+adapter],
// into a replica of the service. Without a version the last declared
// version of that model is taken. Errors are of kind UnknownModel.
func (s *Snapshot) Resolve(service fleet.Service, field string) (Replica, error) {
	key, err := fleet.ParseReplicaKey(string(service) + "/" + field)
	if err != nil {
		return Replica{}, fault.New(fault.UnknownModel, "model %q: want model[@version][+adapter]", field)
	}
	svc, ok := s.services[service]
	if !ok {
		return Replica{}, fault.New(fault.UnknownService, "service %q does not exist", service)
	}
	if r, ok := svc.replicas[key]; ok {
		return r, nil
	}
	if key.Version == "" {
		for i := len(svc.spec.Models) - 1; i >= 0; i-- {
			if svc.spec.Models[i].Name != key.Model {
				continue
			}
			key.Version = svc.spec.Models[i].Version
			if r, ok := svc.replicas[key]; ok {
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

// TeamNames returns the names of all teams in order.
func (s *Snapshot) TeamNames() []fleet.Team {
	return slices.Sorted(maps.Keys(s.teams))
}
