package inventory

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestSplitAdapter(t *testing.T) {
	model, name, ok := SplitAdapter("team/m0/a1@12")
	assert.True(t, ok)
	assert.Equal(t, "team/m0", model)
	assert.Equal(t, "a1", name)
	for _, text := range []string{"", "m0", "m0/a1", "m0@1", "/a1@1", "m0/@1", "m0@1/a1"} {
		_, _, ok := SplitAdapter(text)
		assert.False(t, ok, text)
	}
}
