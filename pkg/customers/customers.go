// Package customers holds the customers of a configuration: their API keys, their priority and
// their quota. A Directory is immutable. It holds digests of the keys and not the keys.
package customers

import (
	"crypto/sha256"
	"fmt"
)

// Quota bounds the requests of a customer over all nodes together.
type Quota struct {
	// PerSecond is the rate, and Burst what may be used at once in addition, in requests or,
	// if Tokens is true, in tokens. A PerSecond of 0 is no limit.
	PerSecond, Burst float64
	// Tokens is true if a request counts as its tokens, false if it counts as 1.
	Tokens bool
	// PlainTokens is what a request counts that declares no tokens, if Tokens is true.
	PlainTokens int
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// Customer is one customer. It must not be changed.
type Customer struct {
	Name string
	// Priority is the priority of the customer's requests if HasPriority is true; 0 is the
	// most urgent.
	Priority    int
	HasPriority bool
	Quota       Quota
}

// Cost returns what a request counts against the quota. tokens is the number of its input and
// output tokens, 0 if it declares none.
func (c *Customer) Cost(tokens int) float64 {
	switch {
	case !c.Quota.Tokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	default:
		return float64(max(c.Quota.PlainTokens, 1)) // without a number, such requests would have no limit
	}
}

// routePriorities is the number of priorities of routes that are told apart among the requests of
// customers of one priority. Higher values count as the last one.
const routePriorities = 1 << 16

// RequestPriority returns the priority at queues of a request of c on a route with a priority. The
// customer's priority decides; among requests of customers of the same priority, the route's does.
// A request without a customer, or of one without a priority, has the route's in the place of the
// customer's. The result is comparable among requests of one configuration with customers.
func (c *Customer) RequestPriority(routePriority int) int {
	customerPriority := routePriority
	if c != nil && c.HasPriority {
		customerPriority = c.Priority
	}
	return customerPriority*routePriorities + min(routePriority, routePriorities-1)
}

// keyDigest is the SHA-256 digest of an API key.
type keyDigest [sha256.Size]byte

// Directory finds customers by API key and name. A key is looked up by its digest, so that the
// duration tells nothing about the keys that exist.
type Directory struct {
	byKey  map[keyDigest]*Customer
	byName map[string]*Customer
}

// Entry is a customer with the API keys that it may use.
type Entry struct {
	Customer
	Keys []string
}

// NewDirectory returns a directory of the entries. It returns an error that quotes no key if two
// entries have one name or one key, or a name is empty.
func NewDirectory(entries []Entry) (*Directory, error) {
	d := &Directory{byKey: map[keyDigest]*Customer{}, byName: map[string]*Customer{}}
	for i := range entries {
		c := &entries[i].Customer
		if c.Name == "" {
			return nil, fmt.Errorf("customer %d has no name", i+1)
		}
		if d.byName[c.Name] != nil {
			return nil, fmt.Errorf("two customers have the name %.80q", c.Name)
		}
		d.byName[c.Name] = c
		for _, key := range entries[i].Keys {
			digest := keyDigest(sha256.Sum256([]byte(key)))
			if other := d.byKey[digest]; other != nil && other != c {
				return nil, fmt.Errorf("customers %.80q and %.80q have a key in common", other.Name, c.Name)
			}
			d.byKey[digest] = c
		}
	}
	return d, nil
}

// ByKey returns the customer that holds an API key, nil if there is none.
func (d *Directory) ByKey(key string) *Customer {
	return d.byKey[sha256.Sum256([]byte(key))]
}

// ByName returns the customer with a name, nil if there is none.
func (d *Directory) ByName(name string) *Customer { return d.byName[name] }

// All returns all customers, in no particular order.
func (d *Directory) All() []*Customer {
	out := make([]*Customer, 0, len(d.byName))
	for _, c := range d.byName {
		out = append(out, c)
	}
	return out
}
