package scenarios

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"sync"
	"time"

	"almondturn/examples"
	"almondturn/fleet"
	"almondturn/pkg/localcluster"
	"almondturn/pkg/operators"
	"almondturn/pkg/teams"
)

const (
	// settingsTimeout bounds a call of the operators' interface, and settingsWait the time
	// for which a change waits until it is in force on all nodes.
	settingsTimeout = 5 * time.Second
	settingsWait    = 3 * time.Second
	// statusInterval is the time between two queries of what a node has in force.
	statusInterval = 200 * time.Millisecond
	// rewriteTimeout is the time after a restore of the key-value service within which a
	// node that continues to run writes the settings again that it has in force.
	rewriteTimeout = 5 * time.Second
)

// settingsLog records the changes of one team's settings that nodes accepted, and what
// they had in force. Its methods may be called concurrently.
type settingsLog struct {
	mu sync.Mutex // guards all below
	// confirmed is the highest revision that was reported as in force on all nodes.
	confirmed  uint64
	changes    []string
	violations []string
	// inForce holds the highest revision that each process had in force.
	inForce map[*exec.Cmd]uint64
}

// settingsTeam is the team whose settings the soak test changes, and whose first model
// has the limit that it changes.
func (p *processCluster) settingsTeam() *teams.TeamSpec { return p.teams[len(p.teams)-1] }

// callOperators makes a call of a node's operators' interface with the root token, and
// decodes the JSON body of the response. It returns an error for a status other than 200.
func (p *processCluster) callOperators(ctx context.Context, id fleet.NodeID, method, path, revision string, body, into any) (http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, settingsTimeout)
	defer cancel()
	text, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.configs[id].Listen.Operators+"/admin/v1"+path, bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+examples.DevRootToken)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "application/json")
	req.Header.Set("If-Match", revision)
	resp, err := p.callers.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s %s: status %d", method, path, resp.StatusCode)
	}
	return resp.Header, json.NewDecoder(resp.Body).Decode(into)
}

// changeLimit changes the replica limit of the first model of settingsTeam through a
// node, and records the outcome. That may fail while the key-value service is unavailable.
func (f *faultInjector) changeLimit(ctx context.Context, id fleet.NodeID, limit int) {
	path := "/teams/" + string(f.settingsTeam().Team)
	spec, accepted := new(teams.TeamSpec), operators.PutResponse{}
	header, err := f.callOperators(ctx, id, http.MethodGet, path, "", nil, spec)
	if err == nil {
		spec.Services[0].Models[0].MaxReplicas = limit
		f.raiseAllowedLimits(spec)
		_, err = f.callOperators(ctx, id, http.MethodPut, path+"?wait="+settingsWait.String(), header.Get("ETag"), spec, &accepted)
	}
	f.settings.mu.Lock()
	defer f.settings.mu.Unlock()
	if accepted.InForce && len(accepted.Unreachable) == 0 {
		f.settings.confirmed = max(f.settings.confirmed, accepted.Revision)
	}
	f.settings.changes = append(f.settings.changes, fmt.Sprintf("%s: limit %d through %s: revision %d, in force %t (unreachable %v), error %v\n",
		time.Now().Format(time.TimeOnly), limit, id, accepted.Revision, accepted.InForce, accepted.Unreachable, err))
}

// watchSettings queries what the nodes have in force until ctx ends, and records a
// violation if a process returns to a former revision.
func (f *faultInjector) watchSettings(ctx context.Context) {
	for ctx.Err() == nil {
		for _, id := range f.nodeIDs {
			f.observeSettings(ctx, id)
		}
		sleep(ctx, statusInterval)
	}
}

// observeSettings queries what a node has in force, and compares it with what the same
// process had in force before.
func (f *faultInjector) observeSettings(ctx context.Context, id fleet.NodeID) {
	process := f.process(id)
	revision, err := f.revisionInForce(ctx, id)
	if err != nil || process == nil || process != f.process(id) {
		return
	}
	f.settings.mu.Lock()
	defer f.settings.mu.Unlock()
	if former := f.settings.inForce[process]; revision < former {
		f.settings.violations = append(f.settings.violations, fmt.Sprintf("%s: node %s has revision %d in force after %d", time.Now().Format(time.TimeOnly), id, revision, former))
	}
	f.settings.inForce[process] = revision
}

// revisionInForce returns the revision of settingsTeam that a node has in force.
func (f *faultInjector) revisionInForce(ctx context.Context, id fleet.NodeID) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var status operators.StatusResponse
	_, err := f.callOperators(ctx, id, http.MethodGet, "/status", "", nil, &status)
	return status.Revisions[f.settingsTeam().Team], err
}

// allowLoss allows the loss of the confirmed revision if all processes that had it in force
// when the key-value service was restored end within rewriteTimeout: nobody can write it
// again then.
func (f *faultInjector) allowLoss(ctx context.Context) {
	f.settings.mu.Lock()
	confirmed := f.settings.confirmed
	holders := map[fleet.NodeID]*exec.Cmd{}
	for _, id := range f.nodeIDs {
		if process := f.process(id); process != nil && f.settings.inForce[process] >= confirmed {
			holders[id] = process
		}
	}
	f.settings.mu.Unlock()
	sleep(ctx, rewriteTimeout)
	f.settings.mu.Lock()
	defer f.settings.mu.Unlock()
	for id, process := range holders {
		if f.process(id) == process {
			return
		}
	}
	if confirmed > 0 && f.settings.confirmed == confirmed {
		f.settings.confirmed = 0
		f.settings.changes = append(f.settings.changes, fmt.Sprintf("%s: revision %d may be lost\n", time.Now().Format(time.TimeOnly), confirmed))
	}
}

// awaitSettings waits until every node has the highest confirmed revision in force.
func (f *faultInjector) awaitSettings(ctx context.Context) error {
	f.settings.mu.Lock()
	confirmed := f.settings.confirmed
	f.settings.mu.Unlock()
	for _, id := range f.nodeIDs {
		err := localcluster.WaitUntil(ctx, func() error {
			revision, err := f.revisionInForce(ctx, id)
			if err == nil && revision < confirmed {
				err = fmt.Errorf("node %s has revision %d in force, not %d, which was in force on all nodes", id, revision, confirmed)
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}
