package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run. Its methods may be called concurrently.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

// newRecord returns a record in a new file.
func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	return &record{file: f, begun: time.Now()}, nil
}

// log writes a line with the time since the start.
func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%7.3f s  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...)) // the exit code holds the result
}

// close closes the file.
func (r *record) close() { _ = r.file.Close() }
