package streamversions

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against owners that are told of a stream twice, and of streams without bound.
func TestOwnersAreToldOfEachStreamOnce(t *testing.T) {
	var r recentStreams
	start := time.Unix(1_700_000_000, 0)
	assert.Empty(t, r.takeUntold())
	assert.Empty(t, r.recent(start))
	r.add(start, Begun{ID: "a"})
	r.add(start, Begun{ID: "b"})
	assert.Equal(t, []Begun{{ID: "a"}, {ID: "b"}}, r.takeUntold())
	assert.Empty(t, r.takeUntold())
	later := start.Add(recentTime)
	r.add(later, Begun{ID: "c"})
	assert.Equal(t, []Begun{{ID: "c"}}, r.takeUntold())
	assert.Equal(t, []Begun{{ID: "a"}, {ID: "b"}, {ID: "c"}}, r.recent(later.Add(-1)))
	assert.Equal(t, []Begun{{ID: "c"}}, r.recent(later))
	for i := range 5 * maxRecentStreams {
		r.add(later, Begun{ID: fmt.Sprint(i)})
	}
	for _, list := range [][]Begun{r.recent(later), r.takeUntold()} {
		assert.Len(t, list, maxRecentStreams)
		assert.Equal(t, fmt.Sprint(5*maxRecentStreams-1), list[maxRecentStreams-1].ID)
	}
}
