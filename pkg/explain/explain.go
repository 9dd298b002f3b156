// Package explain tells the story of one request from the logs of all nodes:
// the lines that name it, and what happened meanwhile to its model, its
// targets and the ownership of the zones.
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
)

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// around is the time before and after a request from which lines on its
// model, its targets and its zones are shown.
const around = 2 * time.Second

type arguments struct {
	Request string   `arg:"positional,required" placeholder:"REQUEST-ID"`
	Files   []string `arg:"positional" placeholder:"FILE" help:"log files of the nodes; standard input without any"`
	Only    bool     `arg:"--only" help:"only the lines that name the request"`
}

// Description is printed by --help.
func (arguments) Description() string {
	return "Prints what the logs of all nodes say about one request, in order of time."
}

// line is one line of a log.
type line struct {
	at     time.Time
	node   string
	name   string
	fields map[string]any
}

// Main runs the command and returns its exit code.
func Main(_ context.Context, args []string, stdout, stderr io.Writer) int {
	var a arguments
	p, err := arg.NewParser(arg.Config{Program: "almondturnctl explain"}, &a)
	if err == nil {
		err = p.Parse(args)
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

func run(a *arguments, stdin io.Reader, out io.Writer) error {
	var lines []line
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
		_ = f.Close() // it was only read
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		lines = append(lines, read...)
	}
	story := tell(lines, a.Request, a.Only)
	if len(story) == 0 {
		return fmt.Errorf("no line names the request %q", a.Request)
	}
	return write(out, story, a.Request)
}

// readLines reads the JSON objects of a log. What stands before an object on
// its line is ignored, and so are lines without one.
func readLines(r io.Reader) ([]line, error) {
	var out []line
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
			continue // no log line
		}
		l := line{fields: fields, node: str(fields, "node"), name: str(fields, "name")}
		l.at, _ = time.Parse(time.RFC3339Nano, str(fields, "time")) // a line without a time sorts first
		out = append(out, l)
	}
	return out, s.Err()
}

func str(fields map[string]any, name string) string {
	v, _ := fields[name].(string)
	return v
}

// tell returns the lines that concern the request, in order of time.
func tell(lines []line, request string, only bool) []line {
	var named []line
	about := map[string]bool{}
	for _, l := range lines {
		if str(l.fields, "request") != request {
			continue
		}
		named = append(named, l)
		for _, field := range []string{"model", "target"} {
			if v := str(l.fields, field); v != "" {
				about[v] = true
			}
		}
	}
	slices.SortStableFunc(named, func(a, b line) int { return a.at.Compare(b.at) })
	if only || len(named) == 0 {
		return named
	}
	from, until := named[0].at.Add(-around-total(named)), named[len(named)-1].at.Add(around)
	var out []line
	for _, l := range lines {
		if str(l.fields, "request") == request || concerns(l, about) && !l.at.Before(from) && !l.at.After(until) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b line) int { return a.at.Compare(b.at) })
	return out
}

// total returns how long the request took, as far as its lines tell.
func total(lines []line) time.Duration {
	longest := 0.0
	for _, l := range lines {
		if ms, ok := l.fields["total_ms"].(float64); ok {
			longest = max(longest, ms)
		}
	}
	return time.Duration(longest * float64(time.Millisecond))
}

// concerns tells whether a line without the request tells of its
// surroundings.
func concerns(l line, about map[string]bool) bool {
	if str(l.fields, "request") != "" {
		return false
	}
	if strings.HasPrefix(l.name, "zone_") || strings.HasPrefix(l.name, "store_") || strings.HasPrefix(l.name, "lease_") {
		return true
	}
	return about[str(l.fields, "model")] || about[str(l.fields, "target")]
}

// hidden fields stand in the first columns, or are the same on all lines.
var hidden = map[string]bool{"time": true, "node": true, "name": true, "level": true, "event": true}

func write(w io.Writer, story []line, request string) error {
	for _, l := range story {
		mark := " "
		if str(l.fields, "request") == request {
			mark = "*"
		}
		if _, err := fmt.Fprintf(w, "%s %s %-22s %-24s%s\n", l.at.Format("15:04:05.000"), mark, l.node, l.name, details(l.fields)); err != nil {
			return err
		}
	}
	return nil
}

// details returns the other fields in order of their names.
func details(fields map[string]any) string {
	names := make([]string, 0, len(fields))
	for name, v := range fields {
		if hidden[name] || name == "request" || v == "" {
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
