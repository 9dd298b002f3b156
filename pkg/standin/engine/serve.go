package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/target"
)

// defaultTokens is the length of an answer when max_tokens is not given.
const defaultTokens = 16

// completionRequest is the part of a request that the engine reads.
type completionRequest struct {
	Stream    bool `json:"stream"`
	MaxTokens int  `json:"max_tokens"`
}

// run is one request in progress. Its events are kept for a resumed stream.
type run struct {
	id     string
	key    fleet.ReplicaKey
	cancel context.CancelFunc

	events  [][]byte // guarded by Engine.mu
	ended   bool     // guarded by Engine.mu
	readers int      // guarded by Engine.mu
	changed chan struct{}
}

type waiter struct {
	priority int
	ready    chan struct{}
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
	body, err := io.ReadAll(r.Body)
	var req completionRequest
	if err != nil || json.Unmarshal(body, &req) != nil {
		refuse(w, http.StatusBadRequest, "bad_body")
		return
	}
	if e.currentFaults().Silent {
		<-r.Context().Done()
		return
	}
	if req.MaxTokens <= 0 {
		req.MaxTokens = defaultTokens
	}
	id := r.Header.Get(target.HeaderRequestID)
	from, _ := strconv.Atoi(r.Header.Get(target.HeaderResume))
	run := e.existing(id)
	if run == nil {
		if from > 0 {
			refuse(w, http.StatusGone, "unknown_request")
			return
		}
		if run = e.begin(w, r, id, req); run == nil {
			return
		}
	}
	e.answer(w, r, run, req, from)
}

func (e *Engine) existing(id string) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// begin admits a new request and starts to generate; nil after a refusal.
func (e *Engine) begin(w http.ResponseWriter, r *http.Request, id string, req completionRequest) *run {
	key, err := fleet.ParseReplicaKey(r.Header.Get(target.HeaderReplica))
	if err != nil {
		refuse(w, http.StatusBadRequest, "bad_replica")
		return nil
	}
	priority, _ := strconv.Atoi(r.Header.Get(target.HeaderPriority))
	if err := e.admitRequest(r.Context(), key, priority); err != nil {
		status := http.StatusConflict
		if errors.Is(err, errFull) {
			status = http.StatusTooManyRequests
		}
		refuse(w, status, err.Error())
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	ctx, cancel := context.WithCancel(e.ctx)
	run := &run{id: id, key: key, cancel: cancel, changed: make(chan struct{})}
	e.runs[id] = run
	e.record(Record{Kind: RecordStart, Key: key, RequestID: id})
	go e.generate(ctx, run, req.MaxTokens)
	return run
}

var (
	errFull      = errors.New("queue_full")
	errNotLoaded = errors.New("not_loaded")
)

// admitRequest waits for a place in the batch.
func (e *Engine) admitRequest(ctx context.Context, key fleet.ReplicaKey, priority int) error {
	e.mu.Lock()
	rep := e.replicas[key]
	if rep == nil || rep.phase != fleet.ReplicaLoaded {
		e.mu.Unlock()
		return errNotLoaded
	}
	rep.running++ // counted while waiting too, so that it is not unloaded
	rep.served++
	if e.running < e.opts.MaxRunning {
		e.running++
		e.mu.Unlock()
		return nil
	}
	if len(e.waiting) >= e.opts.QueueLimit {
		rep.running--
		e.mu.Unlock()
		return errFull
	}
	me := &waiter{priority: priority, ready: make(chan struct{})}
	e.enqueueLocked(me)
	incarnation := e.incarnation
	e.mu.Unlock()
	select {
	case <-me.ready:
	case <-ctx.Done():
		return e.abandon(me, rep)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation != incarnation {
		return errNotLoaded
	}
	return nil
}

// enqueueLocked keeps the waiting requests ordered by class, then by arrival.
func (e *Engine) enqueueLocked(w *waiter) {
	i := len(e.waiting)
	for i > 0 && e.waiting[i-1].priority > w.priority {
		i--
	}
	e.waiting = append(e.waiting[:i], append([]*waiter{w}, e.waiting[i:]...)...)
}

// abandon takes a waiting request out; when it had just been admitted its
// place goes to the next.
func (e *Engine) abandon(w *waiter, rep *replica) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	rep.running--
	for i, other := range e.waiting {
		if other == w {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return context.Canceled
		}
	}
	e.releaseLocked()
	return context.Canceled
}

func (e *Engine) releaseLocked() {
	if len(e.waiting) > 0 {
		close(e.waiting[0].ready)
		e.waiting = e.waiting[1:]
		return
	}
	e.running--
}

// generate produces the events of a run.
func (e *Engine) generate(ctx context.Context, r *run, tokens int) {
	outcome := "done"
	for i := range tokens {
		pause := e.opts.TokenInterval
		if i == 0 {
			pause = e.opts.Prefill
		}
		if sleep(ctx, pause) != nil {
			outcome = "cancelled"
			break
		}
		e.appendEvent(r, fmt.Appendf(nil, `{"id":%q,"object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"%s:%d "}}]}`, r.id, r.id, i+1))
	}
	e.endRun(r, outcome)
}

func (e *Engine) appendEvent(r *run, ev []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.events = append(r.events, ev)
	close(r.changed)
	r.changed = make(chan struct{})
}

// endRun frees the run's place and forgets it after ResumeGrace.
func (e *Engine) endRun(r *run, outcome string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if outcome == "done" {
		r.events = append(r.events, []byte("[DONE]"))
	}
	r.ended = true
	close(r.changed)
	r.changed = make(chan struct{})
	if e.runs[r.id] != r {
		return // a former incarnation's run
	}
	if rep := e.replicas[r.key]; rep != nil {
		rep.running--
	}
	e.releaseLocked()
	e.record(Record{Kind: RecordEnd, Key: r.key, RequestID: r.id, Outcome: outcome, Events: len(r.events)})
	time.AfterFunc(e.opts.ResumeGrace, func() { e.forget(r) })
}

func (e *Engine) forget(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs[r.id] == r {
		delete(e.runs, r.id)
	}
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	if run := e.existing(r.PathValue("id")); run != nil {
		run.cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}

// wait returns the run's events behind from, and a channel that is closed
// when there are more.
func (e *Engine) wait(r *run, from int) (events [][]byte, ended bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return r.events[min(from, len(r.events)):], r.ended, r.changed
}

func (e *Engine) answer(w http.ResponseWriter, r *http.Request, run *run, req completionRequest, from int) {
	id := e.answerID(run.id)
	w.Header().Set(target.HeaderRequestID, id)
	e.attach(run, 1)
	defer e.detach(run)
	if req.Stream {
		e.stream(w, r, run, from)
		return
	}
	e.whole(w, r, run)
}

func (e *Engine) answerID(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.WrongID == 0 {
		return id
	}
	e.faults.WrongID--
	return "crossed-" + id
}

func (e *Engine) attach(r *run, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.readers += n
}

// detach cancels a run that stays without a reader for ResumeGrace.
func (e *Engine) detach(r *run) {
	e.attach(r, -1)
	time.AfterFunc(e.opts.ResumeGrace, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if r.readers == 0 {
			r.cancel()
		}
	})
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, run *run, from int) {
	rc := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	cut := e.cutAfter()
	for sent := from; ; {
		events, ended, changed := e.wait(run, sent)
		for _, ev := range events {
			if cut >= 0 && sent-from >= cut {
				_ = rc.Flush() // the events before the cut have left
				panic(http.ErrAbortHandler)
			}
			sent++
			if writeEvent(w, sent, ev) != nil {
				return
			}
		}
		_ = rc.Flush()
		if ended {
			if len(events) == 0 || string(events[len(events)-1]) != "[DONE]" {
				panic(http.ErrAbortHandler)
			}
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// cutAfter returns the number of events after which the stream is to be
// cut, or -1.
func (e *Engine) cutAfter() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.CutStreams == 0 {
		return -1
	}
	e.faults.CutStreams--
	return e.faults.CutAfter
}

func writeEvent(w io.Writer, id int, data []byte) error {
	_, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, data)
	return err
}

// whole waits for the end and answers with one JSON document.
func (e *Engine) whole(w http.ResponseWriter, r *http.Request, run *run) {
	for {
		events, ended, changed := e.wait(run, 0)
		if !ended {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			}
		}
		if len(events) == 0 || string(events[len(events)-1]) != "[DONE]" {
			panic(http.ErrAbortHandler)
		}
		var text bytes.Buffer
		for i := range len(events) - 1 {
			fmt.Fprintf(&text, "%s:%d ", run.id, i+1)
		}
		writeJSON(w, http.StatusOK, map[string]any{
			"id": run.id, "object": "chat.completion",
			"choices": []any{map[string]any{"index": 0, "finish_reason": "stop", "message": map[string]string{"role": "assistant", "content": text.String()}}},
			"usage":   map[string]int{"completion_tokens": len(events) - 1},
		})
		return
	}
}

// refuse answers that the request was not run.
func refuse(w http.ResponseWriter, status int, code string) {
	w.Header().Set(target.HeaderRun, "no")
	writeJSON(w, status, map[string]string{"error": code})
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
