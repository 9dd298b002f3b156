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

// Guards against an urgent route of a customer of low priority that precedes a customer of high
// priority.
func TestPriorityOfTheCustomerComesBeforeThatOfTheRoute(t *testing.T) {
	first, second := &Customer{HasPriority: true}, &Customer{HasPriority: true, Priority: 1}
	ordered := []int{
		first.RequestPriority(0), first.RequestPriority(2), first.RequestPriority(1 << 30),
		second.RequestPriority(0), second.RequestPriority(5),
		(*Customer)(nil).RequestPriority(2), (&Customer{}).RequestPriority(3),
	}
	assert.IsIncreasing(t, ordered)
}

// Guards against a quota in requests that counts tokens, and against requests that count nothing
// and therefore have no limit.
func TestCostIsInTheUnitOfTheQuota(t *testing.T) {
	for _, c := range []struct {
		quota  Quota
		tokens int
		want   float64
	}{
		{Quota{Tokens: true, PlainTokens: 200}, 1540, 1540},
		{Quota{Tokens: true, PlainTokens: 200}, 0, 200},
		{Quota{Tokens: true}, 0, 1},
		{Quota{}, 1540, 1},
	} {
		customer := Customer{Quota: c.quota}
		assert.InDelta(t, c.want, customer.Cost(c.tokens), 0, "%+v", c)
	}
}
