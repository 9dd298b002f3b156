package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"almondturn/pkg/fault"
	"almondturn/pkg/target"
)

// sink writes an answer to a caller. It implements dispatch.Sink.
type sink struct {
	w       http.ResponseWriter
	id      string
	stream  bool
	started bool
}

// hopHeaders are the headers of an answer that concern one connection only,
// and those that the gateway sets itself.
var hopHeaders = []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Upgrade", "Trailer", "Date", target.HeaderRun}

// Start implements dispatch.Sink.
func (s *sink) Start(status int, header http.Header) {
	out := s.w.Header()
	for name, values := range header {
		out[name] = values
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	out.Set(fault.HeaderRequestID, s.id)
	run := fault.RunYes
	if header.Get(target.HeaderRun) == string(fault.RunNo) {
		run = fault.RunNo // the target's own refusal
	}
	out.Set(fault.HeaderRun, string(run))
	s.started = true
	s.w.WriteHeader(status)
}

// Write implements dispatch.Sink.
func (s *sink) Write(p []byte) error {
	if _, err := s.w.Write(p); err != nil {
		return fmt.Errorf("write to the caller: %w", err)
	}
	if !s.stream {
		return nil
	}
	s.w.(http.Flusher).Flush()
	return nil
}

// writeError ends a started stream with an explicit error event.
func (s *sink) writeError(err error) {
	body, jsonErr := json.Marshal(fault.NewBody(s.id, err))
	if jsonErr != nil {
		panic(http.ErrAbortHandler)
	}
	_ = s.Write(fmt.Appendf(nil, "event: error\ndata: %s\n\n", body))
}

func countAnswer(code string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("almondturn_gateway_answers_total{code=%q}", code)).Inc()
}
