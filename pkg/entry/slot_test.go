package entry

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"almondturn/pkg/customers"
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

// Guards against a request whose customer the owners do not learn, and against one without a
// customer that fails.
func TestSlotRequestNamesTheCustomer(t *testing.T) {
	j := &job{Request: &Request{Route: &route.Route{}}}
	assert.Empty(t, (&Node{}).slotRequest(j, false).Customer)
	j.Customer = &customers.Customer{Name: "north"}
	assert.Equal(t, "north", (&Node{}).slotRequest(j, false).Customer)
}
