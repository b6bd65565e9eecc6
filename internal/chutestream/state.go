package chutestream

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
)

const (
	// announceDelay is how long a record waits before it is announced; a stream that ends sooner never is.
	announceDelay = 20 * time.Millisecond
	// maxRecords bounds the records that are held; the one that expires first is dropped for a further one.
	maxRecords = 1 << 14
	// MaxRecordsPerCall bounds the records of one Announce.
	MaxRecordsPerCall = 256
	// maxLifetime bounds how long a record is held, whatever the node says that announced it.
	maxLifetime = time.Minute
)

// Stats counts what has happened to records.
type Stats struct {
	// Held is the number of records now.
	Held int
	// Announced counts records sent to other nodes, once for each, and Dropped those dropped for want of room.
	Announced int64
	Dropped   int64
}

// State is all that a node knows of streams. Copies are cheap and a State is never modified.
type State struct {
	holders holders
	// nodesListed is true once the other nodes are known.
	nodesListed bool
	records     *immutable.Map[ID, Record]
	// byContent holds the bindings of the records of each content.
	byContent *immutable.Map[ID, []contentBinding]
	// expiries are when the records expire.
	expiries agenda
	// unannounced are the streams that began here and were not announced, with the times at which they are due.
	unannounced agenda
	ticking     bool
	draining    bool
	announced   int64
	dropped     int64
}

// NewState returns the state of a node that knows of no stream and no other node.
func NewState(self Node) State {
	return State{
		holders: holders{self: self}.withNodes([]Node{self}),
		records: immutable.NewMap[ID, Record](idHasher{}), byContent: immutable.NewMap[ID, []contentBinding](idHasher{}),
		expiries: newAgenda(), unannounced: newAgenda(),
	}
}

// Find returns the record of a stream, or false if this node does not know its binding.
//
// An ID that names no request finds the records of its content if all of them have the same binding. The record is ambiguous
// if they have not.
func (s State) Find(id ID, now time.Time) (Record, bool) {
	if !id.NamesRequest() {
		return s.findContent(id, now)
	}
	record, ok := s.records.Get(id)

	return record, ok && !record.ambiguous && now.Before(record.Until)
}

// ToAsk returns the other nodes that know the binding of a stream if any does.
func (s State) ToAsk(id ID, now time.Time) []Node {
	return s.holders.toAsk(id, now)
}

// PassedOver returns the number of nodes that would be asked for a stream too but did not answer shortly before. Before the nodes
// are listed it is 1, as there may be any.
func (s State) PassedOver(id ID, now time.Time) int {
	if !s.nodesListed {
		return 1
	}

	return s.holders.passedOver(id, now)
}

// Stats returns the counts so far.
func (s State) Stats() Stats {
	return Stats{Held: s.records.Len(), Announced: s.announced, Dropped: s.dropped}
}

// reduction is the working state of one Reduce call.
type reduction struct {
	State
	now     time.Time
	effects []Effect
}

// Reduce applies one event and returns the next state and the effects to carry out.
func Reduce(s State, now time.Time, event Event) (State, []Effect) {
	st := reduction{State: s, now: now}
	switch e := event.(type) {
	case NodesListed:
		st.holders = st.holders.withNodes(e.Nodes)
		st.nodesListed = true
	case Began:
		st.began(e)
	case Ended:
		st.unannounced = st.unannounced.without(e.ID)
	case Broken:
		st.broken(e.ID)
	case Announced:
		for _, record := range e.Records {
			st.put(record)
		}
	case AnnounceFailed:
		st.announceFailed(e)
	case AskFailed:
		st.holders = st.holders.withFailed(e.Node.Name, st.now)
	case DrainStarted:
		st.drain()
	case Ticked:
		st.announceDue()
	}

	return st.State, st.effects
}

// began records a stream of this node and announces it after a while.
func (st *reduction) began(e Began) {
	st.put(Record{ID: e.ID, Binding: e.Binding, Until: e.Until})
	if st.draining {
		st.announce([]ID{e.ID})

		return
	}
	st.unannounced = st.unannounced.with(e.ID, st.now.Add(announceDelay))
	st.tickLater()
}

// broken announces a stream at once, unless that has been done.
func (st *reduction) broken(id ID) {
	if st.unannounced.has(id) {
		st.unannounced = st.unannounced.without(id)
		st.announce([]ID{id})
	}
}

// put adds a record. Streams of different bindings under one ID are ambiguous from then on.
func (st *reduction) put(record Record) {
	st.dropExpired()
	record.Since = st.now
	if limit := st.now.Add(maxLifetime); record.Until.After(limit) {
		record.Until = limit
	}
	if !st.now.Before(record.Until) {
		return
	}
	known, ok := st.records.Get(record.ID)
	st.addContent(record, !ok)
	if ok {
		record = known.withConfirmed(record)
	} else if st.records.Len() >= maxRecords {
		first, _, _ := st.expiries.first()
		st.remove(first)
		st.dropped++
	}
	st.records = st.records.Set(record.ID, record)
	st.expiries = st.expiries.with(record.ID, record.Until)
}

func (st *reduction) remove(id ID) {
	record, _ := st.records.Get(id)
	st.removeContent(record)
	st.records = st.records.Delete(id)
	st.expiries = st.expiries.without(id)
}

func (st *reduction) dropExpired() {
	for {
		id, at, ok := st.expiries.first()
		if !ok || st.now.Before(at) {
			return
		}
		st.remove(id)
	}
}

// announceDue announces the streams whose time has come.
func (st *reduction) announceDue() {
	st.ticking = false
	var due []ID
	for id, at, ok := st.unannounced.first(); ok && !st.now.Before(at); id, at, ok = st.unannounced.first() {
		due = append(due, id)
		st.unannounced = st.unannounced.without(id)
	}
	st.announce(due)
	st.tickLater()
}

// tickLater schedules the next Ticked event if one is needed and none is scheduled.
func (st *reduction) tickLater() {
	_, due, ok := st.unannounced.first()
	if st.ticking || !ok {
		return
	}
	st.ticking = true
	st.effects = append(st.effects, TickAt{At: due})
}

// announce sends the records of streams to the nodes that are to hold them.
func (st *reduction) announce(ids []ID) {
	batch := newBatches()
	for _, id := range ids {
		if record, ok := st.Find(id, st.now); ok {
			batch.add(record, st.holders.announceTo(id, st.now)...)
		}
	}
	st.send(batch, false)
}

// announceFailed passes a node over and announces to the next one of its zone. A record that fails there too is not announced
// again.
func (st *reduction) announceFailed(e AnnounceFailed) {
	st.holders = st.holders.withFailed(e.Node.Name, st.now)
	if e.Again {
		return
	}
	batch := newBatches()
	for _, record := range e.Records {
		if next, ok := st.holders.bestOther(e.Node.Zone, record.ID, st.now); ok {
			batch.add(record, next)
		}
	}
	st.send(batch, true)
}

func (st *reduction) send(b *batches, again bool) {
	for _, node := range b.nodes {
		for records := range slices.Chunk(b.byNode[node.Name], MaxRecordsPerCall) {
			st.effects = append(st.effects, Announce{Node: node, Records: records, Again: again})
			st.announced += int64(len(records))
		}
	}
}

// batches are records by the node that they are for.
type batches struct {
	nodes  []Node
	byNode map[string][]Record
}

func newBatches() *batches {
	return &batches{byNode: map[string][]Record{}}
}

func (b *batches) add(record Record, nodes ...Node) {
	for _, node := range nodes {
		if b.byNode[node.Name] == nil {
			b.nodes = append(b.nodes, node)
		}
		b.byNode[node.Name] = append(b.byNode[node.Name], record)
	}
}

// drain hands the records over to the nodes that hold them without this one.
func (st *reduction) drain() {
	st.draining = true
	st.unannounced = newAgenda()
	var ids []ID
	for i := st.records.Iterator(); !i.Done(); {
		id, _, _ := i.Next()
		ids = append(ids, id)
	}
	st.announce(ids)
}
