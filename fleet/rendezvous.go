package fleet

import "github.com/cespare/xxhash/v2"

// RendezvousWeight returns the weight of a member for a key in rendezvous
// hashing: the member with the highest weight is responsible for the key.
// Processes that have the same members in any order agree on that member.
//
// Source: Thaler and Ravishankar, "A Name-Based Mapping Scheme for
// Rendezvous", 1996.
func RendezvousWeight(member, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(member)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}
