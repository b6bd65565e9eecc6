package chuteadmission

import (
	"cmp"

	"github.com/cespare/xxhash/v2"

	"azurechute.example/azurechute/internal/chuterequest"
)

// treap is an immutable map with access to its entry of lowest rank: a binary search tree by key and a heap by rank.
// Keys are ordered by a hash that is independent of rank, so it stays balanced. It allocates a quarter of what two
// immutable.Maps would.
type treap[V keyed] struct {
	root *treapNode[V]
	size int
}

// keyed is a value that returns its own key.
type keyed interface {
	treapKey() treapKey
}

// treapNode is immutable once its treap has been returned. It is small, since each
// change of a treap copies many nodes.
type treapNode[V keyed] struct {
	hash  uint64
	rank  rank
	left  *treapNode[V]
	right *treapNode[V]
	value V
}

// treapKey is a request's key or a name; the texts are compared if the hashes are equal.
type treapKey struct {
	hash      uint64
	name      string
	requestID string
}

func nameKey(name string) treapKey {
	return treapKey{hash: xxhash.Sum64String(name), name: name}
}

func requestKey(key chuterequest.Key) treapKey {
	// The multiplier keeps the hashes of a workspace and a request ID of equal text from
	// cancelling out.
	hash := xxhash.Sum64String(key.Workspace)*31 + xxhash.Sum64String(key.RequestID)

	return treapKey{hash: hash, name: key.Workspace, requestID: key.RequestID}
}

// compareKey compares the key with the node's key; it is negative if the key belongs
// in the left subtree, positive for the right one, and 0 if the keys are equal.
func (n *treapNode[V]) compareKey(k treapKey) int {
	if k.hash != n.hash {
		return cmp.Compare(k.hash, n.hash)
	}
	other := n.value.treapKey()

	return cmp.Or(cmp.Compare(k.name, other.name), cmp.Compare(k.requestID, other.requestID))
}

// lowest returns the value of lowest rank.
func (t treap[V]) lowest() (V, rank, bool) {
	if t.root == nil {
		var none V

		return none, rank{}, false
	}

	return t.root.value, t.root.rank, true
}

func (t treap[V]) findNode(key treapKey) *treapNode[V] {
	n := t.root
	for n != nil {
		switch order := n.compareKey(key); {
		case order < 0:
			n = n.left
		case order > 0:
			n = n.right
		default:
			return n
		}
	}

	return nil
}

func (t treap[V]) get(key treapKey) (V, bool) {
	if n := t.findNode(key); n != nil {
		return n.value, true
	}
	var none V

	return none, false
}

// with returns the treap with the value, which replaces any with the same key.
func (t treap[V]) with(at rank, value V) treap[V] {
	key := value.treapKey()
	existing := t.findNode(key)
	if existing != nil && existing.rank == at {
		return treap[V]{root: t.root.replaced(key, value), size: t.size}
	}
	if existing != nil {
		t = t.without(key)
	}

	added := &treapNode[V]{hash: key.hash, rank: at, value: value}

	return treap[V]{root: t.root.inserted(key, added), size: t.size + 1}
}

// without returns the treap without the key, which must be present.
func (t treap[V]) without(key treapKey) treap[V] {
	return treap[V]{root: t.root.removed(key), size: t.size - 1}
}

// each calls visit for all values in the order of their keys' hashes.
func (t treap[V]) each(visit func(V)) {
	t.root.each(visit)
}

func (n *treapNode[V]) each(visit func(V)) {
	if n == nil {
		return
	}
	n.left.each(visit)
	visit(n.value)
	n.right.each(visit)
}

func (n *treapNode[V]) replaced(key treapKey, value V) *treapNode[V] {
	next := *n
	switch order := n.compareKey(key); {
	case order < 0:
		next.left = n.left.replaced(key, value)
	case order > 0:
		next.right = n.right.replaced(key, value)
	default:
		next.value = value
	}

	return &next
}

// inserted returns the tree with the node added at the depth that the heap order
// requires. It may change added in place.
func (n *treapNode[V]) inserted(key treapKey, added *treapNode[V]) *treapNode[V] {
	if n == nil {
		return added
	}
	if added.rank.less(n.rank) {
		added.left, added.right = n.split(key)

		return added
	}
	next := *n
	if n.compareKey(key) < 0 {
		next.left = n.left.inserted(key, added)
	} else {
		next.right = n.right.inserted(key, added)
	}

	return &next
}

// split returns the parts of the tree with lower and with higher keys than the given one.
func (n *treapNode[V]) split(key treapKey) (lower, higher *treapNode[V]) {
	if n == nil {
		return nil, nil
	}
	next := *n
	if n.compareKey(key) < 0 {
		lower, next.left = n.left.split(key)

		return lower, &next
	}
	next.right, higher = n.right.split(key)

	return &next, higher
}

func (n *treapNode[V]) removed(key treapKey) *treapNode[V] {
	order := n.compareKey(key)
	if order == 0 {
		return joined(n.left, n.right)
	}
	next := *n
	if order < 0 {
		next.left = n.left.removed(key)
	} else {
		next.right = n.right.removed(key)
	}

	return &next
}

// joined returns both trees as one; all keys of lower must be below those of higher.
func joined[V keyed](lower, higher *treapNode[V]) *treapNode[V] {
	switch {
	case lower == nil:
		return higher
	case higher == nil:
		return lower
	case lower.rank.less(higher.rank):
		next := *lower
		next.right = joined(lower.right, higher)

		return &next
	default:
		next := *higher
		next.left = joined(lower, higher.left)

		return &next
	}
}
