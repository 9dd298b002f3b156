package membership

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/event"
	"almondturn/pkg/platform"
	"almondturn/wire"
)

// vmDuty names the polling of the VM list among a zone's nodes.
const vmDuty = "vmlist"

// targetTable merges the VM list with the targets of the settings.
type targetTable struct {
	vms        platform.VMLister
	configured []fleet.Target

	merged atomic.Pointer[[]fleet.Target]

	mu          sync.Mutex // guards all below
	last        *wire.TargetList
	subscribers []chan struct{}
}

func newTargetTable(vms platform.VMLister, configured []fleet.Target) *targetTable {
	t := &targetTable{vms: vms, configured: configured}
	t.mergeLocked()
	return t
}

// Targets returns the targets of all zones, by identifier. The slice must
// not be changed.
func (s *Service) Targets() []fleet.Target { return *s.targets.merged.Load() }

// ListedTargets returns Targets, and false before the first VM list.
func (s *Service) ListedTargets() ([]fleet.Target, bool) {
	return s.Targets(), s.targets.list() != nil
}

// SubscribeTargets returns a channel that receives after each change of Targets.
func (s *Service) SubscribeTargets() <-chan struct{} {
	ch := make(chan struct{}, 1)
	s.targets.mu.Lock()
	defer s.targets.mu.Unlock()
	s.targets.subscribers = append(s.targets.subscribers, ch)
	return ch
}

func (t *targetTable) list() *wire.TargetList {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last
}

// take keeps a list unless a newer one is known. What the VM list itself
// just said is kept in any case: its versions may start again.
func (t *targetTable) take(l *wire.TargetList, polled bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.last != nil && (l.Version == t.last.Version || (!polled && l.Version < t.last.Version)) {
		return false
	}
	t.last = l
	t.mergeLocked()
	for _, ch := range t.subscribers {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
	return true
}

// mergeLocked joins the list and the settings. The settings decide what a
// target is, either may say that it is leaving.
func (t *targetTable) mergeLocked() {
	var out []fleet.Target
	listed := map[fleet.TargetID]fleet.Target{}
	if t.last != nil {
		for _, target := range t.last.Targets {
			listed[target.ID] = target
		}
	}
	for _, target := range t.configured {
		target.Leaving = target.Leaving || listed[target.ID].Leaving
		delete(listed, target.ID)
		out = append(out, target)
	}
	for _, target := range listed {
		out = append(out, target)
	}
	slices.SortFunc(out, func(a, b fleet.Target) int { return strings.Compare(string(a.ID), string(b.ID)) })
	t.merged.Store(&out)
}

// vmLoop polls the VM list while this node is one of the zone's first.
func (s *Service) vmLoop() {
	if s.targets.vms == nil {
		return
	}
	ticker := time.NewTicker(s.opts.VMPollInterval)
	defer ticker.Stop()
	for {
		if s.Rank(vmDuty) < s.opts.VMPollers {
			s.pollVMs()
		}
		select {
		case <-ticker.C:
		case <-s.ctx.Done():
			return
		}
	}
}

func (s *Service) pollVMs() {
	ctx, cancel := context.WithTimeout(s.ctx, s.opts.CallTimeout)
	defer cancel()
	vms, version, err := s.targets.vms.VMs(ctx)
	if err != nil {
		event.VMListFailed.Log(&s.log).Err(err).Send()
		return
	}
	s.takeList(&wire.TargetList{Version: version, Targets: targetsOf(vms)}, true)
}

func targetsOf(vms []platform.VM) []fleet.Target {
	var out []fleet.Target
	for _, vm := range vms {
		if vm.Role != platform.VMTarget {
			continue
		}
		out = append(out, fleet.Target{
			ID: fleet.TargetID(vm.ID), Zone: vm.Zone, Addr: vm.Addr,
			Kind: vm.Kind, Service: vm.Service, Leaving: vm.Leaving,
		})
	}
	return out
}

// takeList keeps a list and passes what this node has polled on to the zone.
func (s *Service) takeList(l *wire.TargetList, polled bool) {
	if s.targets.take(l, polled) && polled {
		s.network.Broadcast(s.self.Zone, l)
	}
}
