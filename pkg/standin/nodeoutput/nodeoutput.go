// Package nodeoutput collects what node processes of a test write to their standard error,
// and finds reports of the race detector and crashes in it. A process that a test starts
// doesn't fail the test by them, because most tests don't see the end of the process.
package nodeoutput

import (
	"bytes"
	"fmt"
	"io"
	"regexp"
	"sync"
)

// Collector collects the output of processes and passes it on. Its methods may be called
// concurrently.
type Collector struct {
	forward io.Writer

	mu      sync.Mutex // guards outputs, and what they hold
	outputs []*output
}

// output is what one process has written. It implements io.Writer.
type output struct {
	collector *Collector
	node      string
	text      bytes.Buffer
}

// New returns a Collector that passes the output of all processes on to forward.
func New(forward io.Writer) *Collector { return &Collector{forward: forward} }

// Writer returns the writer for the standard error of a process that runs the named node.
func (c *Collector) Writer(node string) io.Writer {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := &output{collector: c, node: node}
	c.outputs = append(c.outputs, o)
	return o
}

// Write implements io.Writer.
func (o *output) Write(p []byte) (int, error) {
	o.collector.mu.Lock()
	defer o.collector.mu.Unlock()
	o.text.Write(p)
	return o.collector.forward.Write(p)
}

// Faults returns a line for each report of a data race and each crash so far. It is
// complete once the processes have ended and exec.Cmd.Wait has returned.
func (c *Collector) Faults() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var faults []string
	for _, o := range c.outputs {
		for _, line := range find(o.text.Bytes()) {
			faults = append(faults, fmt.Sprintf("process of node %s: %s", o.node, line))
		}
	}
	return faults
}

// faultLine matches the first line of a report of the race detector, of a panic that ends
// the process or that an HTTP server recovers, and of an error of the Go runtime.
var faultLine = regexp.MustCompile(`(?m)^.*WARNING: DATA RACE.*$|^panic: .*$|^.*http2?: panic serving .*$|^fatal error: .*$|^runtime: .*$`)

// find returns the lines of the text that match faultLine.
func find(text []byte) []string {
	var lines []string
	for _, line := range faultLine.FindAll(text, -1) {
		lines = append(lines, string(line))
	}
	return lines
}

// Lines returns the lines that contain a text, in the order of the processes.
func (c *Collector) Lines(text string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var lines []string
	for _, o := range c.outputs {
		for line := range bytes.Lines(o.text.Bytes()) {
			if bytes.Contains(line, []byte(text)) {
				lines = append(lines, string(line))
			}
		}
	}
	return lines
}
