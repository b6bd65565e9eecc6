package chutestream

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"time"

	"github.com/benbjohnson/immutable"
)

// agenda holds IDs with a time for each, ordered by time. It is immutable.
type agenda struct {
	times *immutable.Map[ID, time.Time]
	order *immutable.SortedMap[agendaItem, struct{}]
}

type agendaItem struct {
	at time.Time
	id ID
}

type idHasher struct{}

func (idHasher) Hash(id ID) uint32 {
	return binary.LittleEndian.Uint32(id[:]) ^ binary.LittleEndian.Uint32(id[halfIDBytes:])
}

func (idHasher) Equal(a, b ID) bool {
	return a == b
}

type agendaComparer struct{}

func (agendaComparer) Compare(a, b agendaItem) int {
	return cmp.Or(a.at.Compare(b.at), bytes.Compare(a.id[:], b.id[:]))
}

func newAgenda() agenda {
	return agenda{times: immutable.NewMap[ID, time.Time](idHasher{}), order: immutable.NewSortedMap[agendaItem, struct{}](agendaComparer{})}
}

// with sets the time of an ID.
func (a agenda) with(id ID, at time.Time) agenda {
	a = a.without(id)
	a.times = a.times.Set(id, at)
	a.order = a.order.Set(agendaItem{at: at, id: id}, struct{}{})

	return a
}

func (a agenda) without(id ID) agenda {
	at, ok := a.times.Get(id)
	if !ok {
		return a
	}
	a.times = a.times.Delete(id)
	a.order = a.order.Delete(agendaItem{at: at, id: id})

	return a
}

func (a agenda) has(id ID) bool {
	_, ok := a.times.Get(id)

	return ok
}

// first returns the ID whose time is the earliest, or false if there is none.
func (a agenda) first() (ID, time.Time, bool) {
	i := a.order.Iterator()
	if i.Done() {
		return ID{}, time.Time{}, false
	}
	item, _, _ := i.Next()

	return item.id, item.at, true
}
