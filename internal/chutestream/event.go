package chutestream

import "time"

// Event is something that happened to streams or to the nodes that know of them.
type Event interface {
	streamEvent()
}

// NodesListed reports all nodes, including this one.
type NodesListed struct {
	Nodes []Node
}

// Began reports that this node is about to pass on the first event of a stream, which can be taken up until
// the given time.
type Began struct {
	ID      ID
	Binding Binding
	Until   time.Time
}

// Ended reports that the caller was sent a stream to its end.
type Ended struct {
	ID ID
}

// Broken reports that a stream ended before its end, so that its caller is likely to take it up.
type Broken struct {
	ID ID
}

// Announced reports records that another node has sent.
type Announced struct {
	Records []Record
}

// AnnounceFailed reports that a node did not take the records of an Announce.
type AnnounceFailed struct {
	Announce
}

// AskFailed reports that a node could not be asked.
type AskFailed struct {
	Node Node
}

// DrainStarted reports that this node is shutting down.
type DrainStarted struct{}

// Ticked reports that records are due to be announced.
type Ticked struct{}

func (NodesListed) streamEvent()    {}
func (Began) streamEvent()          {}
func (Ended) streamEvent()          {}
func (Broken) streamEvent()         {}
func (Announced) streamEvent()      {}
func (AnnounceFailed) streamEvent() {}
func (AskFailed) streamEvent()      {}
func (DrainStarted) streamEvent()   {}
func (Ticked) streamEvent()         {}

// Effect is an action for the node to carry out, as data.
type Effect interface {
	streamEffect()
}

// Announce sends records to a node.
type Announce struct {
	Node    Node
	Records []Record
	// Again says that another node did not take the records.
	Again bool
}

// TickAt schedules a Ticked event.
type TickAt struct {
	At time.Time
}

func (Announce) streamEffect() {}
func (TickAt) streamEffect()   {}
