package customers

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a lookup that takes a prefix, another case or an empty key for a key.
func TestOnlyWholeKeysIdentifyACustomer(t *testing.T) {
	d, err := NewDirectory([]Entry{
		{Customer: Customer{Name: "north"}, Keys: []string{"k1", "k2"}},
		{Customer: Customer{Name: "south"}, Keys: []string{"k3", "k3"}},
		{Customer: Customer{Name: "none"}},
	})
	require.NoError(t, err)
	for key, want := range map[string]string{"k1": "north", "k2": "north", "k3": "south"} {
		assert.Equal(t, want, d.ByKey(key).Name)
	}
	for _, key := range []string{"", "k", "K1", "k1 ", "k12"} {
		assert.Nil(t, d.ByKey(key), "%q", key)
	}
	assert.Len(t, d.All(), 3)
	assert.Equal(t, "none", d.ByName("none").Name)
	assert.Nil(t, d.ByName("k1"))
}

// Guards against a key that silently belongs to the customer listed last, and against a key
// in an error that is logged.
func TestAmbiguousCustomersAreErrorsWithoutKeys(t *testing.T) {
	for _, entries := range [][]Entry{
		{{Customer: Customer{Name: "a"}, Keys: []string{"secret"}}, {Customer: Customer{Name: "b"}, Keys: []string{"secret"}}},
		{{Customer: Customer{Name: "a"}, Keys: []string{"secret"}}, {Customer: Customer{Name: "a"}}},
		{{Keys: []string{"secret"}}},
	} {
		_, err := NewDirectory(entries)
		require.Error(t, err)
		assert.NotContains(t, err.Error(), "secret")
	}
}

// Guards against an urgent route of a customer of low rank that passes a customer of high rank.
func TestRankOfTheCustomerComesBeforeThatOfTheRoute(t *testing.T) {
	first, second := &Customer{HasPriority: true}, &Customer{HasPriority: true, Priority: 1}
	ordered := []int{
		first.RequestPriority(0), first.RequestPriority(2), first.RequestPriority(1 << 30),
		second.RequestPriority(0), second.RequestPriority(5),
		(*Customer)(nil).RequestPriority(2), (&Customer{}).RequestPriority(3),
	}
	assert.IsIncreasing(t, ordered)
}

func TestCostIsInTheUnitOfTheQuota(t *testing.T) {
	tokens := Customer{Quota: Quota{Tokens: true, PlainTokens: 200}}
	assert.InDelta(t, 1540, tokens.Cost(1540), 0)
	assert.InDelta(t, 200, tokens.Cost(0), 0)
	unset := Customer{Quota: Quota{Tokens: true}}
	assert.InDelta(t, 1, unset.Cost(0), 0, "a request that counts nothing would have no limit")
	requests := Customer{}
	assert.InDelta(t, 1, requests.Cost(1540), 0)
}
