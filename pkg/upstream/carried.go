package upstream

import (
	"hash/maphash"
	"slices"
)

// maxCarriedIDs is the number of requests with an identifier that one connection carries. A
// connection that has carried so many is not kept any longer, which bounds what it remembers.
const maxCarriedIDs = 1024

// hashSeed is that of the hashes of identifiers: clients choose these, and cannot choose them
// so that hashes collide.
var hashSeed = maphash.MakeSeed()

// carriedIDs remembers the identifiers of the requests that a connection has carried, as
// hashes. Two identifiers with one hash count as the same.
type carriedIDs []uint64

// hashID returns the hash of an identifier, 0 for an empty one, which is not remembered.
func hashID(id string) uint64 {
	if id == "" {
		return 0
	}
	return max(maphash.String(hashSeed, id), 1)
}

// add remembers an identifier.
func (c *carriedIDs) add(hash uint64) {
	if hash != 0 {
		*c = append(*c, hash)
	}
}

// contains reports whether an identifier was added.
func (c carriedIDs) contains(hash uint64) bool { return hash != 0 && slices.Contains(c, hash) }

// full reports whether no more identifiers may be added.
func (c carriedIDs) full() bool { return len(c) >= maxCarriedIDs }
