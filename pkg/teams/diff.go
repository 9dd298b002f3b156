package teams

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Difference is one path at which two subtrees differ. Old or New is empty if the
// path exists in one of them only.
type Difference struct {
	Path string `json:"path"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// Diff returns the differences between two subtrees, ordered by path. In a path the
// elements of lists are identified by name, so that their order in the file makes no
// difference, except for the rules of calls and for the versions of a model. Either
// subtree may be nil.
func Diff(before, after *TeamSpec) []Difference {
	a, b := flatten(before), flatten(after)
	var out []Difference
	for path, old := range a {
		if b[path] != old {
			out = append(out, Difference{Path: path, Old: old, New: b[path]})
		}
	}
	for path, added := range b {
		if _, ok := a[path]; !ok {
			out = append(out, Difference{Path: path, New: added})
		}
	}
	slices.SortFunc(out, func(x, y Difference) int { return strings.Compare(x.Path, y.Path) })
	return out
}

// FormatDiff returns the differences as a unified diff of paths, under the given names
// of both sides, with at most limit paths; 0 shows all.
func FormatDiff(before, after string, diff []Difference, limit int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "--- %s\n+++ %s\n", before, after)
	for i, d := range diff {
		if limit > 0 && i == limit {
			fmt.Fprintf(&b, "... and %d more paths\n", len(diff)-limit)
			break
		}
		if d.Old != "" {
			fmt.Fprintf(&b, "-%s: %s\n", d.Path, d.Old)
		}
		if d.New != "" {
			fmt.Fprintf(&b, "+%s: %s\n", d.Path, d.New)
		}
	}
	return b.String()
}

// flatten returns a map from each path of a subtree to its value.
func flatten(t *TeamSpec) map[string]string {
	out := map[string]string{}
	if t == nil {
		return out
	}
	out["team"] = string(t.Team)
	for _, token := range t.OperatorTokens {
		out["operator_tokens["+token+"]"] = "set"
	}
	for _, c := range t.Callers {
		out["callers["+c.Name+"].key_sha256"] = c.KeyDigest
		out["callers["+c.Name+"].service"] = string(c.Service)
	}
	for i := range t.Services {
		flattenService(out, &t.Services[i])
	}
	return out
}

// flattenService adds the paths of a service to out.
func flattenService(out map[string]string, svc *ServiceSpec) {
	prefix := "services[" + string(svc.Name) + "]"
	out[prefix+".kind"] = string(svc.Kind)
	out[prefix+".class"] = strconv.Itoa(int(svc.Class))
	out[prefix+".idle_weight"] = strconv.FormatFloat(svc.IdleWeight, 'g', -1, 64)
	flattenEngine(out, prefix+".engine", svc.Engine)
	for i, c := range svc.Calls {
		out[fmt.Sprintf("%s.calls[%d]", prefix, i)] = fmt.Sprintf("%s %s idempotent=%t", c.Method, c.PathPrefix, c.Idempotent)
	}
	// A request without a version uses the last one declared, so the order of versions
	// matters.
	versions := map[string][]string{}
	for i := range svc.Models {
		m := &svc.Models[i]
		versions[m.Name] = append(versions[m.Name], m.Version)
		flattenModel(out, prefix+".models["+modelName(m)+"]", m)
	}
	for _, name := range slices.Sorted(maps.Keys(versions)) {
		if len(versions[name]) > 1 {
			out[prefix+".versions["+name+"]"] = strings.Join(versions[name], ", ")
		}
	}
}

// flattenEngine adds the paths of an engine to out, below the path prefix.
func flattenEngine(out map[string]string, prefix string, e *EngineSpec) {
	if e == nil {
		return
	}
	formatFloat := func(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }
	out[prefix+".requests"] = strconv.Itoa(e.MaxRequests)
	out[prefix+".memory_bytes"] = strconv.FormatInt(e.MemoryBytes, 10)
	out[prefix+".cache_tokens"] = strconv.Itoa(e.CacheTokens)
	out[prefix+".adapters"] = strconv.Itoa(e.MaxAdapters)
	out[prefix+".loads_per_second"] = formatFloat(e.LoadsPerSecond)
	out[prefix+".store_seconds"] = formatFloat(e.StoreSeconds)
	out[prefix+".disk_seconds"] = formatFloat(e.DiskSeconds)
	out[prefix+".memory_seconds"] = formatFloat(e.MemorySeconds)
}

// flattenModel adds the paths of a model to out, below the path prefix.
func flattenModel(out map[string]string, prefix string, m *ModelSpec) {
	out[prefix+".memory_bytes"] = strconv.FormatInt(m.MemoryBytes, 10)
	out[prefix+".max_replicas"] = strconv.Itoa(m.MaxReplicas)
	for _, a := range m.Adapters {
		path := prefix + ".adapters[" + a.Name + "]"
		out[path+".memory_bytes"] = strconv.FormatInt(a.MemoryBytes, 10)
		out[path+".max_replicas"] = strconv.Itoa(a.MaxReplicas)
	}
}

// ConflictingPaths returns the paths that both sides changed to different values, in
// the order of yours.
func ConflictingPaths(theirs, yours []Difference) []string {
	theirValues := make(map[string]string, len(theirs))
	for _, d := range theirs {
		theirValues[d.Path] = d.New
	}
	var out []string
	for _, d := range yours {
		if theirValue, ok := theirValues[d.Path]; ok && theirValue != d.New {
			out = append(out, d.Path)
		}
	}
	return out
}
