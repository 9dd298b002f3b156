package route

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestMatchReturnsTheLongestPrefixOfTheHost(t *testing.T) {
	routes := []*Route{
		{Name: "root", Host: "a.example", PathPrefix: "/"},
		{Name: "long", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "short", Host: "A.Example", PathPrefix: "/x/"},
		{Name: "other", Host: "b.example", PathPrefix: "/x/y/z/"},
	}
	table := NewTable(1, routes, nil, RequestLimits{})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z/1", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example:8080", "/x/1", "short"},
		{"A.EXAMPLE", "/q", "root"},
		{"b.example", "/x/y/", ""},
		{"c.example", "/", ""},
	} {
		got := table.Match(c.host, c.path)
		if c.want == "" {
			assert.Nil(t, got, c.path)
			continue
		}
		if assert.NotNil(t, got, c.path) {
			assert.Equal(t, c.want, got.Name, c.path)
		}
	}
}

func TestServiceSpreadsRequestsByWeight(t *testing.T) {
	r := &Route{Backends: []Backend{{"a", 90}, {"b", 10}, {"c", 0}}}
	counts := map[string]int{}
	for i := range uint64(1000) {
		counts[r.ChooseService(i)]++
	}
	assert.Equal(t, map[string]int{"a": 900, "b": 100}, counts)
	assert.Equal(t, "a", (&Route{Backends: []Backend{{"a", 0}}}).ChooseService(5), "without any weight, the first backend")
}

func TestOnlySafeAndResumableStreamRoutesAreIdempotent(t *testing.T) {
	assert.True(t, (&Route{Kind: Safe}).Idempotent())
	assert.False(t, (&Route{Kind: Unsafe}).Idempotent())
	assert.False(t, (&Route{Kind: Stream}).Idempotent())
	assert.True(t, (&Route{Kind: Stream, Resumable: true}).Idempotent())
	assert.False(t, (&Route{Kind: Unsafe, Resumable: true}).Idempotent())
}
