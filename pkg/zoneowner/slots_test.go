package zoneowner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"almondturn/wire"
)

// The owner of a zone forgot that a stream continues, and held it to the latency objective.
func TestSchedulerLearnsThatAStreamContinues(t *testing.T) {
	for _, continues := range []bool{false, true} {
		assert.Equal(t, continues, schedulerRequest(time.Now(), "n1", &wire.SlotRequest{Continues: continues}).Continues)
	}
}

// Guards against an owner that treats the requests of all customers as those of one.
func TestSchedulerLearnsTheCustomer(t *testing.T) {
	for _, customer := range []string{"", "north"} {
		assert.Equal(t, customer, schedulerRequest(time.Now(), "n1", &wire.SlotRequest{Customer: customer}).Customer)
	}
}
