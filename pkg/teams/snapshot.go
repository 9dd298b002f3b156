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

// Identity is the caller to whom an API key belongs.
type Identity struct {
	Team    fleet.Team
	Caller  string
	Service fleet.Service
}

// ReplicaSpec holds the settings of one replica key: of a model version, or of an
// adapter of one. The fields are as in ModelSpec, AdapterSpec and ServiceSpec.
type ReplicaSpec struct {
	Key         fleet.ReplicaKey
	Team        fleet.Team
	MemoryBytes int64
	MaxReplicas int
	Class       Class
	IdleWeight  float64
}

// Snapshot is an immutable index of all teams' subtrees, which may be used
// concurrently. It refers to the subtrees and does not copy them. Lookups by key are
// O(1).
type Snapshot struct {
	// Revisions holds the revision of each team's subtree.
	Revisions map[fleet.Team]uint64
	// Drained are the targets that operators have drained.
	Drained map[string]bool

	teams              map[fleet.Team]*teamIndex
	services           map[fleet.Service]*serviceIndex
	callersByKeyDigest map[string]Identity
}

// teamIndex is a team's subtree with the indexes of its services.
type teamIndex struct {
	spec     *TeamSpec
	services []*serviceIndex
}

// serviceIndex is a service with its replicas by key.
type serviceIndex struct {
	team     fleet.Team
	spec     *ServiceSpec
	replicas map[fleet.ReplicaKey]ReplicaSpec
}

// NewSnapshot returns the snapshot of the given subtrees, which must be valid and are
// not changed afterwards. revisions may be nil.
func NewSnapshot(teams []*TeamSpec, revisions map[fleet.Team]uint64) *Snapshot {
	indexes := make(map[fleet.Team]*teamIndex, len(teams))
	for _, t := range teams {
		indexes[t.Team] = indexTeam(t)
	}
	return joinTeams(indexes, revisions)
}

// joinTeams joins the indexes of the teams. While a service moves from one team to
// another, a node may have it under both teams for a moment. It then belongs to the
// first of them by name, so that all nodes with the same subtrees agree. The same
// applies to API keys.
func joinTeams(indexes map[fleet.Team]*teamIndex, revisions map[fleet.Team]uint64) *Snapshot {
	s := &Snapshot{
		Revisions:          revisions,
		teams:              indexes,
		services:           map[fleet.Service]*serviceIndex{},
		callersByKeyDigest: map[string]Identity{},
	}
	for _, team := range slices.Sorted(maps.Keys(indexes)) {
		s.addTeam(indexes[team])
	}
	return s
}

// addTeam adds the services and API keys of a team that no earlier team has.
func (s *Snapshot) addTeam(t *teamIndex) {
	for _, svc := range t.services {
		if _, taken := s.services[svc.spec.Name]; !taken {
			s.services[svc.spec.Name] = svc
		}
	}
	for _, c := range t.spec.Callers {
		if _, taken := s.callersByKeyDigest[c.KeyDigest]; !taken {
			s.callersByKeyDigest[c.KeyDigest] = Identity{Team: t.spec.Team, Caller: c.Name, Service: c.Service}
		}
	}
}

// indexTeam returns the index of a team's subtree.
func indexTeam(t *TeamSpec) *teamIndex {
	index := &teamIndex{spec: t, services: make([]*serviceIndex, len(t.Services))}
	for i := range t.Services {
		index.services[i] = indexService(t.Team, &t.Services[i])
	}
	return index
}

// indexService returns the index of a service.
func indexService(team fleet.Team, svc *ServiceSpec) *serviceIndex {
	size := len(svc.Models)
	for i := range svc.Models {
		size += len(svc.Models[i].Adapters)
	}
	index := &serviceIndex{team: team, spec: svc, replicas: make(map[fleet.ReplicaKey]ReplicaSpec, size)}
	for i := range svc.Models {
		index.addModel(&svc.Models[i])
	}
	return index
}

// addModel adds the replicas of a model version and of its adapters.
func (x *serviceIndex) addModel(m *ModelSpec) {
	replica := ReplicaSpec{
		Key:         fleet.ReplicaKey{Service: x.spec.Name, Model: m.Name, Version: m.Version},
		Team:        x.team,
		MemoryBytes: m.MemoryBytes,
		MaxReplicas: m.MaxReplicas,
		Class:       x.spec.Class,
		IdleWeight:  x.spec.IdleWeight,
	}
	x.replicas[replica.Key] = replica
	for _, a := range m.Adapters {
		adapterReplica := replica
		adapterReplica.Key.Adapter = a.Name
		adapterReplica.MemoryBytes = a.MemoryBytes
		adapterReplica.MaxReplicas = a.MaxReplicas
		x.replicas[adapterReplica.Key] = adapterReplica
	}
}

// DigestKey returns the SHA-256 digest of an API key or token in lower-case hex, as
// subtrees hold it.
func DigestKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Identify returns the caller to whom an API key belongs; false if the key is unknown.
func (s *Snapshot) Identify(apiKey string) (Identity, bool) {
	id, ok := s.callersByKeyDigest[DigestKey(apiKey)]
	return id, ok
}

// Team returns the subtree of a team; false if there is none.
func (s *Snapshot) Team(t fleet.Team) (*TeamSpec, bool) {
	index, ok := s.teams[t]
	if !ok {
		return nil, false
	}
	return index.spec, true
}

// TeamCount returns the number of teams.
func (s *Snapshot) TeamCount() int { return len(s.teams) }

// Service returns a service and its team; false if there is no such service.
func (s *Snapshot) Service(name fleet.Service) (*ServiceSpec, fleet.Team, bool) {
	x, ok := s.services[name]
	if !ok {
		return nil, "", false
	}
	return x.spec, x.team, true
}

// Replica returns the settings of a replica key; false if the service that the key
// names does not exist or does not declare it.
func (s *Snapshot) Replica(k fleet.ReplicaKey) (ReplicaSpec, bool) {
	x, ok := s.services[k.Service]
	if !ok {
		return ReplicaSpec{}, false
	}
	r, ok := x.replicas[k]
	return r, ok
}

// Resolve returns the replica of a service that the model field of a request names,
// in the form model[@version][+adapter]. If the field has no version, and the model
// without a version is not declared or lacks the adapter, the last declared version
// that has the adapter is used. Errors are of kind UnknownModel, or UnknownService if
// the service does not exist.
func (s *Snapshot) Resolve(service fleet.Service, field string) (ReplicaSpec, error) {
	key, err := fleet.ParseReplicaKey(string(service) + "/" + field)
	if err != nil {
		return ReplicaSpec{}, fault.New(fault.UnknownModel, "model %q: want model[@version][+adapter]", field)
	}
	svc, ok := s.services[service]
	if !ok {
		return ReplicaSpec{}, fault.New(fault.UnknownService, "service %q does not exist", service)
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
	return ReplicaSpec{}, fault.New(fault.UnknownModel, "service %q may not use model %q; it may use %s", service, field, strings.Join(modelNames(svc.spec), ", "))
}

// maxNamesInError is the maximum number of models that an error message lists.
const maxNamesInError = 20

// modelNames returns the names of a service's models for an error message, followed by
// "..." if there are more than maxNamesInError.
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

// Idempotent reports whether a call of a plain service is idempotent, by the first of
// the rules in Calls that matches.
func (svc *ServiceSpec) Idempotent(method, path string) bool {
	for _, c := range svc.Calls {
		if (c.Method == method || c.Method == "*") && strings.HasPrefix(path, c.PathPrefix) {
			return c.Idempotent
		}
	}
	return false
}

// TeamNames returns the names of all teams, sorted.
func (s *Snapshot) TeamNames() []fleet.Team {
	return slices.Sorted(maps.Keys(s.teams))
}
