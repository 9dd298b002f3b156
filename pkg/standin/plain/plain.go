// Package plain is the stand-in for a plain service beside the engines: a
// bookings desk whose POST calls must not be repeated.
package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/standin/engine"
	"almondturn/pkg/target"
)

// Faults are the faults in force.
type Faults struct {
	// Delay is added before a call is run.
	Delay time.Duration
	// LoseAnswers runs the next n calls and cuts the connection.
	LoseAnswers int
	// FailCalls runs the next n calls and answers with status 500.
	FailCalls int
	// Silent accepts calls and neither runs nor answers them.
	Silent bool
}

// Service is one running plain service.
type Service struct {
	target   fleet.TargetID
	recorder engine.Recorder

	mu      sync.Mutex // guards all below
	runs    map[string]int
	booked  int
	faults  Faults
	leaving bool
}

// New returns a service that reports to rec, which may be nil.
func New(id fleet.TargetID, rec engine.Recorder) *Service {
	return &Service{target: id, recorder: rec, runs: map[string]int{}}
}

// SetFaults replaces the faults in force.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns how often each request identifier was run.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, v := range s.runs {
		out[k] = v
	}
	return out
}

// Booked returns the number of non-idempotent calls that were run.
func (s *Service) Booked() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.booked
}

// Handler serves every path: GET reads, other methods book. GET
// /engine/state reports the state as an engine does.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+target.PathState, s.serveState)
	mux.HandleFunc("/", s.serveCall)
	return mux
}

// maxConcurrent is the number of calls that the service reports to run at once.
const maxConcurrent = 64

func (s *Service) serveState(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(fleet.TargetState{Target: s.target, MaxRunning: maxConcurrent, Leaving: s.leaving})
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f := s.takeFaults()
	if f.Silent {
		<-r.Context().Done()
		return
	}
	time.Sleep(f.Delay)
	id := r.Header.Get(target.HeaderRequestID)
	seat := s.run(r.Method, id)
	if f.LoseAnswers > 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(target.HeaderRequestID, id)
	w.Header().Set("Content-Type", "application/json")
	if f.FailCalls > 0 {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"request_id": id, "path": r.URL.Path, "booked": seat, "received_bytes": len(body)})
}

// takeFaults returns the faults for one call and counts them down.
func (s *Service) takeFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	s.faults.LoseAnswers = max(0, f.LoseAnswers-1)
	s.faults.FailCalls = max(0, f.FailCalls-1)
	return f
}

func (s *Service) run(method, id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	if method != http.MethodGet {
		s.booked++
	}
	if s.recorder != nil {
		s.recorder.Record(engine.Record{At: time.Now(), Target: s.target, Kind: engine.RecordStart, RequestID: id, Outcome: method})
	}
	return s.booked
}
