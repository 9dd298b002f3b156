package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latency sums up one latency in milliseconds.
type Latency struct {
	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

// Series is the outcome of one load.
type Series struct {
	Name     string         `json:"name"`
	Requests int            `json:"requests"`
	Codes    map[string]int `json:"codes"`
	Seconds  float64        `json:"seconds"`
	// Rate and TokenRate are those of whole answers, per second.
	Rate      float64 `json:"requests_per_second"`
	TokenRate float64 `json:"tokens_per_second"`
	// CPUMicros is processor time of this process per request, in a trial:
	// callers, nodes and stand-ins together.
	CPUMicros float64 `json:"cpu_us_per_request,omitempty"`
	First     Latency `json:"first_token"`
	Total     Latency `json:"total"`

	firsts *hdrhistogram.Histogram
}

// Report is the result of a run.
type Report struct {
	Args   Args     `json:"args"`
	Series []Series `json:"series"`
	// Loads is the number of loads that the trial's engines began.
	Loads int `json:"loads,omitempty"`
}

const (
	maxLatencyMicros   = int64(10 * time.Minute / time.Microsecond)
	significantFigures = 3
)

func summarize(name string, results []result, took time.Duration, cpu time.Duration) Series {
	s := Series{Name: name, Requests: len(results), Codes: map[string]int{}, Seconds: took.Seconds()}
	s.firsts = hdrhistogram.New(1, maxLatencyMicros, significantFigures)
	totals := hdrhistogram.New(1, maxLatencyMicros, significantFigures)
	tokens := 0
	for _, r := range results {
		s.Codes[r.code]++
		if r.code != codeOK {
			continue
		}
		tokens += r.events
		_ = s.firsts.RecordValue(r.first.Microseconds())
		_ = totals.RecordValue(r.total.Microseconds())
	}
	s.Rate = float64(s.Codes[codeOK]) / s.Seconds
	s.TokenRate = float64(tokens) / s.Seconds
	if len(results) > 0 {
		s.CPUMicros = float64(cpu.Microseconds()) / float64(len(results))
	}
	s.First, s.Total = latency(s.firsts), latency(totals)
	return s
}

func latency(h *hdrhistogram.Histogram) Latency {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latency{P50: ms(50), P90: ms(90), P99: ms(99), P999: ms(99.9), Max: float64(h.Max()) / 1000}
}

func (r *Report) print(w io.Writer) {
	for _, s := range r.Series {
		var codes []string
		for code, n := range s.Codes {
			codes = append(codes, fmt.Sprintf("%s=%d", code, n))
		}
		slices.Sort(codes)
		_, _ = fmt.Fprintf(w, "%-12s %6d requests in %.1f s: %s; %.0f/s, %.0f tokens/s, %.0f us of processor each\n",
			s.Name, s.Requests, s.Seconds, strings.Join(codes, " "), s.Rate, s.TokenRate, s.CPUMicros)
		printLatency(w, "first token", s.First)
		printLatency(w, "whole answer", s.Total)
	}
	if r.Loads > 0 {
		_, _ = fmt.Fprintf(w, "loads begun by the engines: %d\n", r.Loads)
	}
}

func printLatency(w io.Writer, name string, l Latency) {
	_, _ = fmt.Fprintf(w, "  %-13s p50 %8.2f  p90 %8.2f  p99 %8.2f  p99.9 %8.2f  max %8.2f ms\n", name, l.P50, l.P90, l.P99, l.P999, l.Max)
}

func (r *Report) write(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o600)
}

// compare prints the changes between two results, series by series.
func compare(w io.Writer, before, after string) error {
	b, err := readReport(before)
	if err != nil {
		return err
	}
	a, err := readReport(after)
	if err != nil {
		return err
	}
	for i := range min(len(b.Series), len(a.Series)) {
		x, y := b.Series[i], a.Series[i]
		_, _ = fmt.Fprintf(w, "%s:\n", y.Name)
		change(w, "requests/s", x.Rate, y.Rate)
		change(w, "processor us", x.CPUMicros, y.CPUMicros)
		change(w, "first p50 ms", x.First.P50, y.First.P50)
		change(w, "first p99 ms", x.First.P99, y.First.P99)
		change(w, "total p50 ms", x.Total.P50, y.Total.P50)
		change(w, "total p99 ms", x.Total.P99, y.Total.P99)
	}
	return nil
}

func change(w io.Writer, name string, before, after float64) {
	ratio := 0.0
	if before != 0 {
		ratio = after / before
	}
	_, _ = fmt.Fprintf(w, "  %-13s %10.2f -> %10.2f  (x%.2f)\n", name, before, after, ratio)
}

func readReport(path string) (*Report, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var r Report
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &r, nil
}
