package entry

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/pkg/inventory"
	"almondturn/pkg/kv"
	"almondturn/pkg/quarantine"
	"almondturn/pkg/upstream"
	"almondturn/wire"
)

// Guards against evidence that changes between nodes.
func TestEvidenceSurvivesItsEncoding(t *testing.T) {
	records := []quarantine.Record{{
		Part:    quarantine.Part{Service: "llm", ID: "a1"},
		Crashes: []quarantine.CrashAge{{Crash: quarantine.Crash{Target: "t1", Incarnation: 7}, Requests: []string{"r1", "r2"}, Age: 3 * time.Second}},
		Rounds:  4, Refused: true, RefusedAge: time.Hour, Survived: true, SurvivedAge: time.Minute, TrialLeft: time.Second,
	}, {
		Part:    quarantine.Part{Service: "desk", ID: "0af1", Kind: quarantine.WholeRequest},
		Crashes: []quarantine.CrashAge{{Crash: quarantine.Crash{Target: "t2"}, Requests: []string{"r3"}, Age: time.Second}},
	}}
	assert.Equal(t, records, evidenceRecords(evidenceMessage(records)))
}

// Guards against an age that overflows, so that a crash would lie in the future.
func TestAgesOfEvidenceAreBounded(t *testing.T) {
	for _, age := range []int64{math.MinInt64, -1, math.MaxInt64} {
		r := evidenceRecords(&wire.PartEvidence{Parts: []wire.PartRecord{{Crashes: []wire.CrashRecord{{AgeMillis: age}}}}})
		assert.GreaterOrEqual(t, r[0].Crashes[0].Age, time.Duration(0))
		assert.LessOrEqual(t, r[0].Crashes[0].Age, maxEvidenceAge)
	}
}

// Guards against evidence of a kind that a later version sends being taken for one against a
// part of prompts.
func TestEvidenceOfAnUnknownKindIsLeftOut(t *testing.T) {
	records := evidenceRecords(&wire.PartEvidence{Parts: []wire.PartRecord{{Part: "a", Kind: 2}, {Part: "b", Kind: 1}}})
	assert.Equal(t, []quarantine.Record{{Part: quarantine.Part{ID: "b", Kind: quarantine.WholeRequest}}}, records)
}

// Guards against a request that has crashed its targets for days being sent again soon at a node
// that starts: the ages of the older crashes were cut to one, so that all were one round.
func TestRoundsOfOldCrashesReachANodeThatStarts(t *testing.T) {
	p := quarantine.Part{Service: "desk", ID: "d", Kind: quarantine.WholeRequest}
	record := quarantine.Record{Part: p}
	for i, age := range []time.Duration{0, 30 * time.Hour, 31 * time.Hour, 32 * time.Hour, 33 * time.Hour} {
		record.Crashes = append(record.Crashes, quarantine.CrashAge{Crash: quarantine.Crash{Target: "t", Incarnation: int64(i)}, Age: age})
	}
	now := time.Now()
	sent, _ := newIdleNode(t)
	sent.guard.receive("n2", evidenceMessage([]quarantine.Record{record}))
	stored, _ := newIdleNode(t)
	stored.replaceOwners([]kv.Entry{{Key: suspectKey(p), Value: encodeSuspect(now, record)}}, 1)
	for _, n := range []*Node{sent, stored} {
		crashes, rounds := n.guard.ledger.Evidence(p)
		assert.Equal(t, 5, crashes)
		assert.Equal(t, 5, rounds)
	}
}

// Guards against requests being held because this node could not connect for lack of descriptors
// or ports, or because their connections were closed by targets that live on.
func TestClosedConnectionIsACrashOnlyIfTheTargetRefusesAnother(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	for name, c := range map[string]struct {
		dialErr error
		crashes int
	}{
		"accepted":          {nil, 0},
		"refused":           {&net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}, 1},
		"timed out":         {context.DeadlineExceeded, 1},
		"no descriptors":    {&net.OpError{Op: "dial", Err: syscall.EMFILE}, 0},
		"no ports":          {fmt.Errorf("dial: %w", syscall.EADDRNOTAVAIL), 0},
		"no kernel buffers": {syscall.ENOBUFS, 0},
	} {
		t.Run(name, func(t *testing.T) {
			n, _ := newIdleNode(t)
			n.pool = upstream.NewPool(func(ctx context.Context, network, _ string) (net.Conn, error) {
				if c.dialErr != nil {
					return nil, c.dialErr
				}
				return new(net.Dialer).DialContext(ctx, network, listener.Addr().String())
			})
			j := newIdleJob()
			j.parts = j.suspectParts()
			n.guard.attemptEnded(j, assignment{target: &inventory.Target{ID: "t1"}}, sendResult{kind: outcomeUnknown, err: io.ErrUnexpectedEOF})
			crashes, _ := n.guard.ledger.Evidence(j.parts[0])
			assert.Equal(t, c.crashes, crashes)
		})
	}
}

// A trial that its target refused was repeated at once, one that was not sent was held.
func TestRefusedTrialHoldsTheRequest(t *testing.T) {
	for kind, held := range map[resultKind]bool{notRun: true, notLoaded: true, outcomeUnknown: true, withheld: false, unreachable: false} {
		t.Run(kind.String(), func(t *testing.T) {
			n, _ := newIdleNode(t)
			p := []quarantine.Part{requestPart("d")}
			for i := range 3 {
				n.guard.ledger.RunCrashed(time.Now().Add(-time.Minute), quarantine.Crash{Target: "t", Incarnation: int64(i)}, "r", p)
			}
			trials := n.guard.ledger.Admit(time.Now(), p).Trials
			require.Equal(t, p, trials)
			n.releaseAssignment(assignment{target: &inventory.Target{ID: "t"}, trials: trials, admittedAt: time.Now()}, sendResult{kind: kind})
			assert.Equal(t, !held, n.guard.ledger.Check(time.Now().Add(time.Second), p).Allowed)
		})
	}
}

// A target that fails answered a request with a server error, without running it, and the request
// that had crashed three others was sent again each time that it came.
func TestServerErrorClearsNoSuspect(t *testing.T) {
	for status, cleared := range map[int]bool{http.StatusOK: true, http.StatusBadRequest: true, http.StatusInternalServerError: false, http.StatusServiceUnavailable: false} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			n, _ := newIdleNode(t)
			j := &job{Request: &Request{RequestInfo: RequestInfo{ID: "r"}}, parts: []quarantine.Part{requestPart("d")}, responseBegun: time.Now()}
			crashTargets(n, time.Now().Add(-time.Minute), j.parts[0], 3)
			n.guard.attemptEnded(j, assignment{target: &inventory.Target{ID: "t"}}, sendResult{kind: completed, status: status})
			crashes, _ := n.guard.ledger.Evidence(j.parts[0])
			assert.Equal(t, cleared, crashes == 0)
		})
	}
}
