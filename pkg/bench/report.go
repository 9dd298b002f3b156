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

// Latency holds the quantiles and the maximum of a latency in milliseconds.
type Latency struct {
	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

// Series is the outcome of one plan, sent to the nodes or directly to a target.
type Series struct {
	Name     string         `json:"name"`
	Requests int            `json:"requests"`
	Codes    map[string]int `json:"codes"`
	Seconds  float64        `json:"seconds"`
	// Rate and TokenRate count complete responses only, per second.
	Rate      float64 `json:"requests_per_second"`
	TokenRate float64 `json:"tokens_per_second"`
	// CPUMicros is the CPU time of this process per request in microseconds. With a
	// local cluster that includes callers, nodes and stand-ins.
	CPUMicros  float64 `json:"cpu_us_per_request,omitempty"`
	FirstToken Latency `json:"first_token"`
	Total      Latency `json:"total"`

	// firstTokenHistogram counts the times to the first token in microseconds. It is
	// nil in a report that was read from a file.
	firstTokenHistogram *hdrhistogram.Histogram
}

// Report is the result of a run, as written by --json and read by --compare.
type Report struct {
	Args   Args     `json:"args"`
	Series []Series `json:"series"`
	// Loads is the number of model loads in the engines of the local cluster while
	// the load was sent to the nodes.
	Loads int `json:"loads,omitempty"`
}

// Range and precision of the latency histograms, which count microseconds.
const (
	maxLatencyMicros   = int64(10 * time.Minute / time.Microsecond)
	significantFigures = 3
)

// summarize returns the series for the results of a plan that took the time
// elapsed and the CPU time cpu. Latencies and tokens are those of complete
// responses. Latencies above maxLatencyMicros aren't recorded.
func summarize(name string, results []result, elapsed time.Duration, cpu time.Duration) Series {
	s := Series{Name: name, Requests: len(results), Codes: map[string]int{}, Seconds: elapsed.Seconds()}
	s.firstTokenHistogram = hdrhistogram.New(1, maxLatencyMicros, significantFigures)
	totals := hdrhistogram.New(1, maxLatencyMicros, significantFigures)
	tokens := 0
	for _, r := range results {
		s.Codes[r.code]++
		if r.code != codeOK {
			continue
		}
		tokens += r.eventCount
		_ = s.firstTokenHistogram.RecordValue(r.timeToFirstToken.Microseconds())
		_ = totals.RecordValue(r.totalTime.Microseconds())
	}
	s.Rate = float64(s.Codes[codeOK]) / s.Seconds
	s.TokenRate = float64(tokens) / s.Seconds
	if len(results) > 0 {
		s.CPUMicros = float64(cpu.Microseconds()) / float64(len(results))
	}
	s.FirstToken, s.Total = newLatency(s.firstTokenHistogram), newLatency(totals)
	return s
}

// newLatency returns the quantiles of a histogram of microseconds.
func newLatency(h *hdrhistogram.Histogram) Latency {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latency{P50: ms(50), P90: ms(90), P99: ms(99), P999: ms(99.9), Max: float64(h.Max()) / 1000}
}

// print writes the report as text.
func (r *Report) print(w io.Writer) {
	for _, s := range r.Series {
		var codes []string
		for code, n := range s.Codes {
			codes = append(codes, fmt.Sprintf("%s=%d", code, n))
		}
		slices.Sort(codes)
		_, _ = fmt.Fprintf(w, "%-12s %6d requests in %.1f s: %s; %.0f/s, %.0f tokens/s, %.0f us of processor each\n",
			s.Name, s.Requests, s.Seconds, strings.Join(codes, " "), s.Rate, s.TokenRate, s.CPUMicros)
		printLatency(w, "first token", s.FirstToken)
		printLatency(w, "whole answer", s.Total)
	}
	if r.Loads > 0 {
		_, _ = fmt.Fprintf(w, "loads begun by the engines: %d\n", r.Loads)
	}
}

// printLatency writes one line of the text report.
func printLatency(w io.Writer, name string, l Latency) {
	_, _ = fmt.Fprintf(w, "  %-13s p50 %8.2f  p90 %8.2f  p99 %8.2f  p99.9 %8.2f  max %8.2f ms\n", name, l.P50, l.P90, l.P99, l.P999, l.Max)
}

// writeFile writes the report as JSON.
func (r *Report) writeFile(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o600)
}

// compareReports prints the changes between the reports in two files, series by
// series in their order. If one report has more series, the additional ones are
// left out.
func compareReports(w io.Writer, before, after string) error {
	oldReport, err := readReport(before)
	if err != nil {
		return err
	}
	newReport, err := readReport(after)
	if err != nil {
		return err
	}
	for i := range min(len(oldReport.Series), len(newReport.Series)) {
		oldSeries, newSeries := oldReport.Series[i], newReport.Series[i]
		_, _ = fmt.Fprintf(w, "%s:\n", newSeries.Name)
		printChange(w, "requests/s", oldSeries.Rate, newSeries.Rate)
		printChange(w, "processor us", oldSeries.CPUMicros, newSeries.CPUMicros)
		printChange(w, "first p50 ms", oldSeries.FirstToken.P50, newSeries.FirstToken.P50)
		printChange(w, "first p99 ms", oldSeries.FirstToken.P99, newSeries.FirstToken.P99)
		printChange(w, "total p50 ms", oldSeries.Total.P50, newSeries.Total.P50)
		printChange(w, "total p99 ms", oldSeries.Total.P99, newSeries.Total.P99)
	}
	return nil
}

// printChange writes a value before and after with their ratio, which is 0 if
// the value before is 0.
func printChange(w io.Writer, name string, before, after float64) {
	ratio := 0.0
	if before != 0 {
		ratio = after / before
	}
	_, _ = fmt.Fprintf(w, "  %-13s %10.2f -> %10.2f  (x%.2f)\n", name, before, after, ratio)
}

// readReport reads a report that writeFile has written.
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
