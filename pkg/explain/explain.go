// Package explain implements the commands "almondturnctl explain" and "almondturnctl
// refusals". From the logs of all nodes, the first selects the lines about one request:
// those with its identifier, and those at the same time about its model, its targets,
// the ownership of zones, their leases and the key-value store. The second sums the
// refusals of slots by cause and model.
package explain

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/alexflint/go-arg"

	"almondturn/pkg/event"
)

// maxLineBytes is the longest line that readLines accepts.
const maxLineBytes = 1 << 20

// contextWindow is the time before the start and after the end of a request
// from which context lines are shown.
const contextWindow = 2 * time.Second

// arguments are the arguments of the command.
type arguments struct {
	Request string   `arg:"positional,required" placeholder:"REQUEST-ID"`
	Files   []string `arg:"positional" placeholder:"FILE" help:"log files of the nodes; default: standard input"`
	Only    bool     `arg:"--only" help:"only the lines with the identifier of the request"`
}

// Description returns the text that go-arg prints above the flags on --help.
func (arguments) Description() string {
	return "Prints what the logs of all nodes say about one request, in order of time."
}

// logLine is one line of a log.
type logLine struct {
	at        time.Time // zero if the line has no valid time
	node      string
	eventName string
	fields    map[string]any // all fields of the JSON object
}

// Main runs the command with argv, the arguments after the command's name, and
// returns its exit code: 0, or 1 after an error, which it writes to stderr.
func Main(_ context.Context, argv []string, stdout, stderr io.Writer) int {
	var a arguments
	p, err := arg.NewParser(arg.Config{Program: "almondturnctl explain"}, &a)
	if err == nil {
		err = p.Parse(argv)
	}
	if errors.Is(err, arg.ErrHelp) {
		p.WriteHelp(stdout)
		return 0
	}
	if err == nil {
		err = run(&a, os.Stdin, stdout)
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return 1
	}
	return 0
}

// run writes the selected lines of the files to out. It reads stdin if no file
// is given. It returns an error if a log can't be read or no line has the
// identifier of the request.
func run(a *arguments, stdin io.Reader, out io.Writer) error {
	var lines []logLine
	if len(a.Files) == 0 {
		read, err := readLines(stdin)
		if err != nil {
			return fmt.Errorf("standard input: %w", err)
		}
		lines = read
	}
	for _, name := range a.Files {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		read, err := readLines(f)
		_ = f.Close() // read-only, so no written data can be lost
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		lines = append(lines, read...)
	}
	selected := selectLines(lines, a.Request, a.Only)
	if len(selected) == 0 {
		return fmt.Errorf("no log line contains the request identifier %q", a.Request)
	}
	return writeLines(out, selected, a.Request)
}

// readLines reads the log lines of r, which are JSON objects. It ignores text
// before an object on the same line, and lines without a JSON object. It returns
// an error if r fails or a line is longer than maxLineBytes.
func readLines(r io.Reader) ([]logLine, error) {
	var out []logLine
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for s.Scan() {
		text := s.Text()
		i := strings.IndexByte(text, '{')
		if i < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte(text[i:]), &fields) != nil {
			continue // the brace belongs to other output
		}
		l := logLine{fields: fields, node: stringField(fields, "node"), eventName: stringField(fields, "name")}
		l.at, _ = time.Parse(time.RFC3339Nano, stringField(fields, "time")) // a line without a valid time sorts first
		out = append(out, l)
	}
	return out, s.Err()
}

// stringField returns the field of that name, empty if it isn't a string.
func stringField(fields map[string]any, name string) string {
	v, _ := fields[name].(string)
	return v
}

// selectLines returns the lines with the identifier of the request and, unless
// onlyRequest is set, the context lines within contextWindow of it, in order of
// time. It returns none if no line has the identifier.
func selectLines(lines []logLine, request string, onlyRequest bool) []logLine {
	var ofRequest []logLine
	modelsAndTargets := map[string]bool{}
	for _, l := range lines {
		if stringField(l.fields, "request") != request {
			continue
		}
		ofRequest = append(ofRequest, l)
		for _, field := range []string{"model", "target"} {
			if v := stringField(l.fields, field); v != "" {
				modelsAndTargets[v] = true
			}
		}
	}
	slices.SortStableFunc(ofRequest, func(a, b logLine) int { return a.at.Compare(b.at) })
	if onlyRequest || len(ofRequest) == 0 {
		return ofRequest
	}
	// The first line of a request may be the one logged at its end, so the
	// request may have started requestDuration earlier.
	from, until := ofRequest[0].at.Add(-contextWindow-requestDuration(ofRequest)), ofRequest[len(ofRequest)-1].at.Add(contextWindow)
	refused := slices.ContainsFunc(ofRequest, func(l logLine) bool { return l.eventName == event.RequestRefused.Name })
	var out []logLine
	for _, l := range lines {
		if refused && isNotice(l) && !l.at.Before(from.Add(-noticeWindow)) && !l.at.After(until) {
			out = append(out, l)
			continue
		}
		if stringField(l.fields, "request") == request || isContext(l, modelsAndTargets) && !l.at.Before(from) && !l.at.After(until) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b logLine) int { return a.at.Compare(b.at) })
	return out
}

// noticeWindow is the time before a request that was refused from which lines about what
// targets said about themselves are shown: the longest pause. The request names no target
// then.
const noticeWindow = time.Minute

// isNotice reports whether a line is about what a target said about itself.
func isNotice(l logLine) bool {
	switch l.eventName {
	case event.TargetLeaves.Name, event.TargetPauses.Name, event.TargetLimits.Name, event.TargetLimitEnds.Name:
		return true
	default:
		return false
	}
}

// requestDuration returns the largest total_ms of the request's lines, 0 if none
// has that field.
func requestDuration(lines []logLine) time.Duration {
	longest := 0.0
	for _, l := range lines {
		if ms, ok := l.fields["total_ms"].(float64); ok {
			longest = max(longest, ms)
		}
	}
	return time.Duration(longest * float64(time.Millisecond))
}

// isContext reports whether a line gives context to a request: it belongs to no
// request, and is about the zones, the leases, the store or one of the given
// models and targets.
func isContext(l logLine, modelsAndTargets map[string]bool) bool {
	if stringField(l.fields, "request") != "" {
		return false
	}
	if strings.HasPrefix(l.eventName, "zone_") || strings.HasPrefix(l.eventName, "store_") || strings.HasPrefix(l.eventName, "lease_") {
		return true
	}
	return modelsAndTargets[stringField(l.fields, "model")] || modelsAndTargets[stringField(l.fields, "target")]
}

// hiddenFields are the fields that formatFields leaves out: time, node and name
// have columns of their own; level and event, the event's number, follow from the
// event's name.
var hiddenFields = map[string]bool{"time": true, "node": true, "name": true, "level": true, "event": true}

// writeLines writes one line of text per log line: its time, an asterisk if it
// has the identifier of the request, the node, the event's name and the other
// fields.
func writeLines(w io.Writer, lines []logLine, request string) error {
	for _, l := range lines {
		mark := " "
		if stringField(l.fields, "request") == request {
			mark = "*"
		}
		if _, err := fmt.Fprintf(w, "%s %s %-22s %-24s%s\n", l.at.Format("15:04:05.000"), mark, l.node, l.eventName, formatFields(l.fields)); err != nil {
			return err
		}
	}
	return nil
}

// formatFields returns the fields as " name=value" in order of their names,
// without the hidden ones, the request and empty strings.
func formatFields(fields map[string]any) string {
	names := make([]string, 0, len(fields))
	for name, v := range fields {
		if hiddenFields[name] || name == "request" || v == "" {
			continue
		}
		names = append(names, name)
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, fields[name])
	}
	return b.String()
}
