package chuteadmission

import (
	"cmp"

	"github.com/benbjohnson/immutable"
	"github.com/cespare/xxhash/v2"

	"azurechute.example/azurechute/internal/chuterequest"
)

// rank orders things by a time or virtual time in nanoseconds, then by age.
type rank struct {
	at  int64
	seq uint64
}

type rankComparer struct{}

func (rankComparer) Compare(a, b rank) int {
	if a.at != b.at {
		return cmp.Compare(a.at, b.at)
	}

	return cmp.Compare(a.seq, b.seq)
}

func newRanking[V any]() *immutable.SortedMap[rank, V] {
	return immutable.NewSortedMap[rank, V](rankComparer{})
}

// first returns the lowest of a ranking.
func first[V any](ranking *immutable.SortedMap[rank, V]) (rank, V, bool) {
	return ranking.Iterator().Next()
}

// keyHasher hashes request keys the same way in every process.
type keyHasher struct{}

func (keyHasher) Hash(key chuterequest.Key) uint32 {
	return uint32(xxhash.Sum64String(key.RequestID) + 31*xxhash.Sum64String(key.Workspace)) //nolint:gosec // the low half is as good a hash
}

func (keyHasher) Equal(a, b chuterequest.Key) bool {
	return a == b
}

// nameHasher hashes names the same way in every process.
type nameHasher struct{}

func (nameHasher) Hash(name string) uint32 {
	return uint32(xxhash.Sum64String(name)) //nolint:gosec // the low half is as good a hash
}

func (nameHasher) Equal(a, b string) bool {
	return a == b
}
