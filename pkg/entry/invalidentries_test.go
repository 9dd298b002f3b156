package entry

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"almondturn/pkg/inventory"
	"almondturn/pkg/kv"
	"almondturn/pkg/loglimit"
	"almondturn/pkg/zoneowner"
)

// newDecodingNode returns a node that decodes and logs entries of targets, of which only
// those with the value "sound" are valid.
func newDecodingNode(out *bytes.Buffer) *Node {
	log := zerolog.New(out)
	return &Node{log: &log, directory: inventory.NewDirectory(), decoder: Decoder{
		Target: func(key string, value []byte) (*inventory.Target, error) {
			if string(value) != "sound" {
				return nil, fmt.Errorf("entry %q: invalid", key)
			}
			return &inventory.Target{ID: key}, nil
		},
	}}
}

// putTarget decodes and records the entry of a target.
func (n *Node) putTarget(e kv.Entry) { n.directory.Put(e.Key, n.registration(e)) }

// An invalid entry that was rewritten with each heartbeat wrote a log line each time, on
// every node.
func TestRewrittenInvalidEntryIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		n := newDecodingNode(&out)
		for i := range 400 {
			n.putTarget(kv.Entry{Key: "t/odd", Value: fmt.Append(nil, i)})
			time.Sleep(time.Second)
		}
		assert.Equal(t, 1, strings.Count(out.String(), "target_entry_invalid"))
		assert.Contains(t, out.String(), `t/odd`)
		time.Sleep(loglimit.KeyRepeat)
		n.putTarget(kv.Entry{Key: "t/odd"})
		assert.Equal(t, 2, strings.Count(out.String(), "target_entry_invalid"), "it is logged again while it stays")
		assert.Contains(t, out.String(), `"suppressed":399`)
	})
}

// 10,000 invalid entries wrote 10,000 log lines with each list, on every node.
func TestManyInvalidEntriesDoNotFloodTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries, lists = 10_000, 5
		var out bytes.Buffer
		n := newDecodingNode(&out)
		for range lists {
			for i := range entries {
				n.putTarget(kv.Entry{Key: fmt.Sprint("t/odd", i)})
			}
			n.putTarget(kv.Entry{Key: "t/sound", Value: []byte("sound")})
			time.Sleep(loglimit.Window)
		}
		lines := strings.Count(out.String(), "target_entry_invalid")
		assert.Equal(t, lists*loglimit.MaxLines, lines)
		assert.LessOrEqual(t, n.invalidEntries.Keys(), loglimit.MaxKeys)
		assert.Len(t, n.directory.Targets(), 1, "the sound entry holds")
	})
}

// Guards against a bound that hides which entries are invalid.
func TestFirstInvalidEntriesAreAllLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		n := newDecodingNode(&out)
		for i := range 3 * loglimit.MaxKeys {
			n.putTarget(kv.Entry{Key: fmt.Sprintf("t/odd-%d-", i)})
			time.Sleep(loglimit.Window / loglimit.MaxLines)
		}
		for i := range 3 * loglimit.MaxKeys {
			assert.Equal(t, 1, strings.Count(out.String(), fmt.Sprintf(`"key":"t/odd-%d-"`, i)))
		}
		assert.LessOrEqual(t, n.invalidEntries.Keys(), loglimit.MaxKeys)
	})
}

// Owner records that can't be read wrote a log line each time too.
func TestInvalidOwnerRecordIsLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	n := newDecodingNode(&out)
	for i := range 100 {
		n.setOwner("z", kv.Entry{Key: zoneowner.KeyPrefix + "z/owner", Value: []byte("odd"), ModRevision: kv.Revision(i)})
	}
	assert.Equal(t, 1, strings.Count(out.String(), "target_entry_invalid"))
}
