package entry

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"almondturn/pkg/route"
)

// A stream that broke off asked for a slot like a new one, and was refused for an objective
// that had passed.
func TestSlotRequestSaysThatAStreamContinues(t *testing.T) {
	j := &job{Request: &Request{Route: &route.Route{}}}
	assert.False(t, (&Node{}).slotRequest(j, false).Continues)
	j.resumeAfter = "4"
	assert.True(t, (&Node{}).slotRequest(j, false).Continues)
}
