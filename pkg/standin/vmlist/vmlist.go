// Package vmlist is the stand-in for the platform's list of live and
// leaving VMs, which lags behind the truth.
package vmlist

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"almondturn/pkg/platform"
)

// List is the VM list. It implements platform.VMLister.
type List struct {
	lag time.Duration

	mu      sync.Mutex // guards all below
	truth   []platform.VM
	shown   []platform.VM
	version uint64
	changed time.Time
	down    bool
}

// New returns an empty list that shows changes after lag.
func New(lag time.Duration) *List { return &List{lag: lag} }

// Set adds or replaces a VM.
func (l *List) Set(vm platform.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settleLocked()
	i := slices.IndexFunc(l.truth, func(v platform.VM) bool { return v.ID == vm.ID })
	if i >= 0 {
		l.truth[i] = vm
	} else {
		l.truth = append(l.truth, vm)
	}
	l.changed = time.Now()
}

// Remove takes a VM off the list.
func (l *List) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settleLocked()
	l.truth = slices.DeleteFunc(l.truth, func(v platform.VM) bool { return v.ID == id })
	l.changed = time.Now()
}

// SetDown makes the list unavailable.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// VMs implements platform.VMLister.
func (l *List) VMs(context.Context) ([]platform.VM, uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, 0, fmt.Errorf("VM list: %w", platform.ErrUnavailable)
	}
	l.settleLocked()
	return slices.Clone(l.shown), l.version, nil
}

// settleLocked shows the changes that are older than the lag.
func (l *List) settleLocked() {
	if l.changed.IsZero() || time.Since(l.changed) < l.lag {
		return
	}
	l.shown = slices.Clone(l.truth)
	l.version++
	l.changed = time.Time{}
}
