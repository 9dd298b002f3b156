package dispatch

import (
	"time"

	"almondturn/pkg/fault"
)

// admission is what a home knows when it decides on a request.
type admission struct {
	// remaining is the time until the request's deadline.
	remaining time.Duration
	// ahead is the number of waiting requests that go first.
	ahead int
	// queued and limit are the queue's length and its bound.
	queued, limit int
	// places is the number of requests that the loaded replicas take at once.
	places int
	// service and load are the usual times of one request and of a load;
	// 0 when not known.
	service, load time.Duration
	// loading is how long a load of the replica has been running.
	loading time.Duration
}

// wait estimates the time until the request gets a place.
func (a *admission) wait() time.Duration {
	if a.places == 0 {
		return max(0, a.load-a.loading)
	}
	return time.Duration(float64(a.service) * float64(a.ahead+1) / float64(a.places))
}

// admit refuses a request that cannot be answered by its deadline.
func (a *admission) admit() error {
	if a.queued >= a.limit {
		return fault.New(fault.Overloaded, "%d requests wait for the replica already", a.queued)
	}
	wait := a.wait()
	if wait+a.service <= a.remaining {
		return nil
	}
	if a.places == 0 {
		return fault.New(fault.DeadlineExceeded, "the replica is not loaded; the load takes about %s, the deadline is in %s",
			a.load.Round(time.Millisecond), a.remaining.Round(time.Millisecond))
	}
	return fault.New(fault.Overloaded, "the wait of about %s and the answer of about %s exceed the deadline in %s",
		wait.Round(time.Millisecond), a.service.Round(time.Millisecond), a.remaining.Round(time.Millisecond))
}

// smoothing is the weight of a new sample in a moving average.
const smoothing = 0.1

// average is an exponentially weighted moving average.
type average struct {
	value time.Duration
}

func (a *average) add(d time.Duration) {
	if a.value == 0 {
		a.value = d
		return
	}
	a.value += time.Duration(smoothing * float64(d-a.value))
}
