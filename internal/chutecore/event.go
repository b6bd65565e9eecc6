package chutecore

import (
	"time"

	"azurechute.example/azurechute/internal/chuterequest"
	"azurechute.example/azurechute/internal/chuterouting"
)

// Event is something that happened; its time is when the node saw it.
type Event interface {
	When() time.Time
}

// Stamp carries an event's time and is embedded in each event.
type Stamp struct {
	At time.Time
}

// When returns the time at which the node saw the event.
func (s Stamp) When() time.Time {
	return s.At
}

// RequestArrived reports a checked submission under a handle unique to this process.
type RequestArrived struct {
	Stamp
	Handle       uint64
	Key          chuterequest.Key
	Pipeline     string
	Deadline     time.Time
	Unrepeatable bool
	// Blocks are the prompt's block hashes when the first stage is an engine's.
	Blocks []uint64
}

// CallerLeft reports that nobody waits for the answer any more.
type CallerLeft struct {
	Stamp
	Handle uint64
}

// DeadlinePassed reports that a request's time is over.
type DeadlinePassed struct {
	Stamp
	Handle uint64
}

// HedgeDue reports that an attempt has run for longer than nearly all of its kind.
type HedgeDue struct {
	Stamp
	Handle  uint64
	Attempt chuterequest.AttemptID
}

// ClaimTaken reports that this request holds the durable claim of its key.
type ClaimTaken struct {
	Stamp
	Handle uint64
}

// ClaimHeld reports that another attempt holds the claim of the same key and has no result yet.
type ClaimHeld struct {
	Stamp
	Handle uint64
	Owner  string
}

// ClaimSettled reports that the key's result stands in the table already.
type ClaimSettled struct {
	Stamp
	Handle  uint64
	Outcome chuterequest.Outcome
}

// ClaimAbsent reports that no attempt holds or has finished the key, as a look-up saw it.
type ClaimAbsent struct {
	Stamp
	Handle uint64
}

// ClaimFailed reports that the claim was not taken and never will be under this token.
type ClaimFailed struct {
	Stamp
	Handle uint64
	Reason string
	// Excluded says that no other sending of the same key can have run, by the word of every node.
	Excluded bool
}

// Work names what an attempt was for, so that its cost can be charged even after its request has ended.
type Work struct {
	Team      string
	Workspace string
	Pipeline  string
	Stage     string
	Pool      string
}

// AttemptFinished reports a whole, checked answer of an upstream.
type AttemptFinished struct {
	Stamp
	Handle   uint64
	Attempt  chuterequest.AttemptID
	Upstream string
	Work     Work
	Took     time.Duration
	Usage    chuterequest.Usage
	Load     chuterequest.Load
	// NextBlocks are the prompt's block hashes when the next stage is an engine's.
	NextBlocks []uint64
}

// AttemptFailed reports that an attempt ended without a result.
type AttemptFailed struct {
	Stamp
	Handle   uint64
	Attempt  chuterequest.AttemptID
	Upstream string
	Work     Work
	Failure  chuterequest.Failure
	// Offset counts the tokens of the answer that the node holds.
	Offset int
	// Usage is what the attempt consumed as far as the node can tell.
	Usage chuterequest.Usage
}

// LateUsage reports what an attempt consumed after it had been given up.
type LateUsage struct {
	Stamp
	Attempt chuterequest.AttemptID
	Work    Work
	Usage   chuterequest.Usage
}

// UpstreamsListed reports the platform's list of upstreams.
type UpstreamsListed struct {
	Stamp
	Upstreams []chuterouting.Listed
}

// LoadReported reports an upstream's own load report.
type LoadReported struct {
	Stamp
	Upstream string
	Load     chuterequest.Load
}

// CacheReported reports an engine's cache events; Gap says that some were missed.
type CacheReported struct {
	Stamp
	Upstream string
	Events   []chuterouting.CacheEvent
	Gap      bool
}

// LeavingHeard reports a peer's word that an upstream's incarnation is leaving.
type LeavingHeard struct {
	Stamp
	Upstream    string
	Incarnation string
}

// DrainStarted reports that the process was asked to end.
type DrainStarted struct {
	Stamp
}

// DrainEnded reports that the last request in flight has been answered.
type DrainEnded struct {
	Stamp
}

// Ticked reports that some time passed; queued work is looked over.
type Ticked struct {
	Stamp
}
