package fleet

import "github.com/cespare/xxhash/v2"

// RendezvousWeight returns the rendezvous weight of a member for key: the member with
// the highest weight has the key, so that all who see the same members agree,
// whatever their order.
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
