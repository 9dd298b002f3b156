package scenarios

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"almondturn/pkg/fault"
	"almondturn/platform/standin"
)

// endGrace is how long after its deadline a request may be answered.
const endGrace = 3 * time.Second

// replicas counts the loaded replicas of each model over all engines, by the
// engines' own word.
type replicas struct {
	mu sync.Mutex // guards all below
	// on holds the engines that have a model loaded or load it.
	on map[string]map[*standin.Engine]bool
	// limits are the highest limits in force so far.
	limits     map[string]int
	violations []string
}

func newReplicas() *replicas {
	return &replicas{on: map[string]map[*standin.Engine]bool{}, limits: map[string]int{}}
}

// observe is the engines' standin.EngineOptions.OnLoadChange.
func (r *replicas) observe(e *standin.Engine, model string, loaded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.on[model] == nil {
		r.on[model] = map[*standin.Engine]bool{}
	}
	if !loaded {
		delete(r.on[model], e)
		return
	}
	r.on[model][e] = true
	if have, limit := len(r.on[model]), r.limits[model]; have > limit {
		r.violations = append(r.violations, fmt.Sprintf("%s is loaded on %d engines, the limit is %d", model, have, limit))
	}
}

// allow raises the limit of a model.
func (r *replicas) allow(model string, limit int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limits[model] = max(r.limits[model], limit)
}

// loaded returns on how many engines a model is loaded or being loaded.
func (r *replicas) loaded(model string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.on[model])
}

func (r *replicas) found() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.violations...)
}

// runs sums up how often requests and bodies were run over some targets.
func runs(targets map[string]*standin.Engine, of func(*standin.Engine) map[string]int) map[string]int {
	out := map[string]int{}
	for _, e := range targets {
		for id, n := range of(e) {
			out[id] += n
		}
	}
	return out
}

// judge returns the violations of the promises, by what the targets did and
// what the callers were told alone.
func judge(r *replicas, engines, plains map[string]*standin.Engine, calls []*call) []string {
	out := r.found()
	for id, e := range engines {
		if n := e.Overflows(); n > 0 {
			out = append(out, fmt.Sprintf("engine %s was ordered to load more than its memory holds, %d times", id, n))
		}
	}
	booked := runs(plains, (*standin.Engine).RunCounts)
	for id, n := range booked {
		if n > 1 {
			out = append(out, fmt.Sprintf("the booking %s ran %d times", id, n))
		}
	}
	for body, n := range runs(plains, (*standin.Engine).BodyCounts) {
		if n > 1 && strings.Contains(body, keyField) {
			out = append(out, fmt.Sprintf("the booking %s ran %d times", body, n))
		}
	}
	completed := runs(engines, (*standin.Engine).RunCounts)
	for _, k := range calls {
		out = append(out, k.violations(booked[k.id]+completed[k.id])...)
	}
	return out
}

// violations judges what one caller was told of a request that ran n times.
func (k *call) violations(n int) []string {
	var out []string
	add := func(format string, args ...any) {
		out = append(out, fmt.Sprintf("request %s through %s (%s%s): ", k.id, k.node, k.model, k.key)+fmt.Sprintf(format, args...))
	}
	if k.run == string(fault.RunNo) && n > 0 {
		add("refused as not run (%s), but ran %d times", k.code, n)
	}
	if k.code == "ok" && !k.whole {
		add("the answer has %d of %d events and no error", k.events, k.tokens)
	}
	if k.foreign {
		add("the answer holds another request's data")
	}
	if k.code != "connection" && k.ended.After(k.deadline.Add(endGrace)) {
		add("ended %s after its deadline", k.ended.Sub(k.deadline))
	}
	return out
}

func (d *deployment) judge() []string {
	return judge(d.replicas, d.Engines, d.PlainTargets, d.callers.calls())
}
