package engine

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/target"
)

func (e *Engine) serveState(w http.ResponseWriter, r *http.Request) {
	if e.currentFaults().Silent {
		<-r.Context().Done()
		return
	}
	writeJSON(w, http.StatusOK, e.reportedState())
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o target.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if d := e.currentFaults().OrderDelay; d > 0 {
		time.Sleep(d)
	}
	res := e.execute(o)
	if e.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, res)
}

func (e *Engine) loseAnswer() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.LoseOrderAnswers == 0 {
		return false
	}
	e.faults.LoseOrderAnswers--
	return true
}

// execute runs an order to its end. An order goes on when its sender has gone.
func (e *Engine) execute(o target.Order) target.OrderResult {
	if !e.admit(o) {
		return target.OrderResult{Status: target.OrderStale, Message: "fencing number or incarnation refused", State: e.State()}
	}
	res := target.OrderResult{Status: target.OrderDone}
	switch o.Kind {
	case target.OrderLoad:
		if err := e.load(o); err != nil {
			res.Status, res.Message = target.OrderFailed, err.Error()
		}
	case target.OrderUnload:
		if !e.unload(o) {
			res.Status, res.Message = target.OrderBusy, "requests are running on the replica"
		}
	case target.OrderFence:
	}
	res.State = e.State()
	return res
}

// admit checks and raises the fencing number.
func (e *Engine) admit(o target.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.opts.ChecksFencing {
		return true
	}
	newer := o.Epoch > e.epoch || (o.Epoch == e.epoch && o.Sequence > e.sequence)
	if !newer || (o.Incarnation != "" && o.Incarnation != e.incarnation) {
		e.record(Record{Kind: RecordStale, Key: o.Key, Epoch: o.Epoch})
		return false
	}
	e.epoch, e.sequence = o.Epoch, o.Sequence
	return true
}

var (
	errNoBase     = errors.New("the adapter's base model is not loaded")
	errLoadFailed = errors.New("the load failed")
)

// load loads a replica, or waits for a running load of the same replica.
func (e *Engine) load(o target.Order) error {
	e.mu.Lock()
	if r := e.replicas[o.Key]; r != nil {
		done := r.done
		e.mu.Unlock()
		<-done
		if r.failed {
			return errLoadFailed
		}
		return nil
	}
	if o.Key.Adapter != "" {
		base := e.replicas[o.Key.Base()]
		if base == nil || base.phase != fleet.ReplicaLoaded {
			e.mu.Unlock()
			return errNoBase
		}
	}
	r := &replica{key: o.Key, memory: o.MemoryBytes, phase: fleet.ReplicaLoading, done: make(chan struct{})}
	e.replicas[o.Key] = r
	e.record(Record{Kind: RecordLoad, Key: o.Key, Epoch: o.Epoch})
	ctx := e.ctx
	fail := e.faults.FailLoads > 0
	if fail {
		e.faults.FailLoads--
	}
	stall := e.faults.StallLoads
	level := e.levelLocked(o.Key)
	e.mu.Unlock()

	var err error
	switch {
	case stall:
		<-ctx.Done()
		err = ctx.Err()
	case fail:
		err = errLoadFailed
	case o.Key.Adapter != "":
		err = sleep(ctx, e.opts.LoadAdapter)
	case level == fleet.CacheMemory:
		err = sleep(ctx, e.opts.LoadMemory)
	case level == fleet.CacheDisk:
		err = sleep(ctx, e.opts.LoadDisk)
	default:
		err = e.store.Fetch(ctx, e.opts.LoadRemote)
	}
	e.finishLoad(r, err)
	return err
}

func (e *Engine) finishLoad(r *replica, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer close(r.done)
	if e.replicas[r.key] != r {
		r.failed = true // a former incarnation's load
		return
	}
	if err != nil {
		r.failed = true
		delete(e.replicas, r.key)
		e.record(Record{Kind: RecordLoadFailed, Key: r.key})
		return
	}
	r.phase = fleet.ReplicaLoaded
	if name := checkpoint(r.key); r.key.Adapter == "" {
		if !slices.Contains(e.onDisk, name) {
			e.onDisk = append(e.onDisk, name)
		}
		e.inMemory = slices.DeleteFunc(e.inMemory, func(s string) bool { return s == name })
	}
	e.reportedAt = time.Time{}
	e.record(Record{Kind: RecordLoaded, Key: r.key})
}

// maxInMemory is the number of unloaded checkpoints kept in host memory.
const maxInMemory = 2

// unload removes a replica with its adapters; false while requests run.
func (e *Engine) unload(o target.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.replicas[o.Key]
	if r == nil {
		return true
	}
	for k, other := range e.replicas {
		if k.Base() == o.Key && other.running > 0 {
			return false
		}
	}
	if r.running > 0 || r.phase == fleet.ReplicaLoading {
		return false
	}
	for k := range e.replicas {
		if o.Key.Adapter == "" && k.Base() == o.Key {
			delete(e.replicas, k)
		}
	}
	delete(e.replicas, o.Key)
	if o.Key.Adapter == "" {
		e.inMemory = append(e.inMemory, checkpoint(o.Key))
		if len(e.inMemory) > maxInMemory {
			e.inMemory = e.inMemory[1:]
		}
	}
	e.reportedAt = time.Time{}
	e.record(Record{Kind: RecordUnload, Key: o.Key, Epoch: o.Epoch})
	return true
}

func (e *Engine) levelLocked(k fleet.ReplicaKey) fleet.CacheLevel {
	name := checkpoint(k)
	switch {
	case slices.Contains(e.inMemory, name):
		return fleet.CacheMemory
	case slices.Contains(e.onDisk, name):
		return fleet.CacheDisk
	default:
		return fleet.CacheRemote
	}
}

// checkpoint returns model[@version].
func checkpoint(k fleet.ReplicaKey) string {
	if k.Version == "" {
		return k.Model
	}
	return k.Model + "@" + k.Version
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
