package chuterelay

import (
	"time"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chutequarantine"
)

// Effect is something for the node to do, as data; effects are carried out in order.
type Effect interface {
	relayEffect()
}

// SetDeadline asks for a DeadlinePassed event.
type SetDeadline struct {
	Handle uint64
	At     time.Time
}

// Send hands a request to an upstream.
type Send struct {
	Handle    uint64
	Attempt   uint64
	Upstream  chutefleet.Upstream
	Workspace string
	Deadline  time.Time
	// Inputs are the stages' results that the upstream fetches.
	Inputs []string
	// Resume goes on after the last event that the caller has.
	Resume bool
	// Fresh asks for a connection that was never used, so that no old one can lose an unrepeatable call.
	Fresh bool
	// Replaceable says that another upstream may take over: a silent one is asked
	// whether it still accepts connections, and given up if not.
	Replaceable bool
	// Streams says that events are passed on as they come.
	Streams  bool
	Priority int
}

// CancelSend ends an attempt whose answer nobody needs.
type CancelSend struct {
	Handle  uint64
	Attempt uint64
}

// Deliver gives the caller what the attempt answered, or ends its stream as complete.
type Deliver struct {
	Handle  uint64
	Attempt uint64
}

// Refuse tells the caller why there is no answer; a stream that has begun is broken off.
type Refuse struct {
	Handle  uint64
	Refusal Refusal
}

// Forget drops what the node keeps of a request.
type Forget struct {
	Handle uint64
}

// AskParts asks a peer's collector for a job.
type AskParts struct {
	Ask  uint64
	Peer Peer
	Job  chutebatch.Job
	// Loads are what this node has heard of upstreams' loads.
	Loads []chutefleet.LoadReport
}

// DropAsk tells the peer that the job or its results are not needed any more.
type DropAsk struct {
	Ask uint64
}

// GiveParts answers a peer's job.
type GiveParts struct {
	Token   uint64
	Results []chutebatch.Result
	// Wait is how long a job of the same kind would wait here now; Beyond says that this
	// holds for its workspace alone, which is beyond its share.
	Wait   time.Duration
	Beyond bool
	// Loads are on upstreams that are crowded.
	Loads []chutefleet.LoadReport
}

// RefuseParts tells a peer that its job brings no results.
type RefuseParts struct {
	Token   uint64
	Reason  string
	Leaving bool
	// Wait is how long a job of the same kind would wait here now; Beyond says that this
	// holds for its workspace alone, which is beyond its share.
	Wait   time.Duration
	Beyond bool
	// Loads are on upstreams that are crowded.
	Loads []chutefleet.LoadReport
}

// RunCall hands a batch of parts to an upstream.
type RunCall struct {
	Call     chutebatch.Call
	Upstream chutefleet.Upstream
	Timeout  time.Duration
}

// FreeResults tells an upstream which results nobody needs.
type FreeResults struct {
	Upstream chutefleet.Upstream
	Refs     []string
}

// DropConnections closes the connections kept to an address whose process has ended.
type DropConnections struct {
	Address string
}

// Probe asks, at a time, whether an upstream accepts connections.
type Probe struct {
	Upstream chutefleet.Upstream
	At       time.Time
}

// NoteZone tells that another zone is taken for cut off, or was heard from again.
type NoteZone struct {
	Zone   string
	CutOff bool
	// Silent are the parties that proved it.
	Silent []string
}

// NoteEvacuation tells that a zone is evacuated from now on, or taken back.
type NoteEvacuation struct {
	Zone      string
	Evacuated bool
}

// TickAt asks for a Ticked event.
type TickAt struct {
	At time.Time
}

// Charge counts work for the ledger.
type Charge struct {
	Attempt   uint64
	Workspace string
	Pipeline  string
	Stage     string
	Units     int64
	Wasted    bool
}

// TellCrash tells the other nodes of an upstream's end that this node saw.
type TellCrash struct {
	Crash chutequarantine.Crash
}

// TellJudgement tells the other nodes of a judgement.
type TellJudgement struct {
	Judgement chutequarantine.Judgement
}

// NoteCrash is an upstream's end with the requests that this node had there, for the log.
type NoteCrash struct {
	Crash chutequarantine.Crash
	// Evidence is what showed that the process has ended.
	Evidence string
}

// NoteJudgement is a judgement that this node has come to or heard of, for the log.
type NoteJudgement struct {
	Judgement chutequarantine.Judgement
	Heard     bool
}

// NoteLimit is a change of what an upstream says of the requests that it takes, for the log.
type NoteLimit struct {
	Upstream chutefleet.Upstream
	// Limited says that it names a limit by now.
	Limited bool
	Limit   chutefleet.Limit
	// Unreadable is its word if that is no rate.
	Unreadable string
	// Teller is the node that told of it; empty if an answer to this one did.
	Teller string
}

// TellLimit tells the other nodes of a change of an upstream's limit.
type TellLimit struct {
	Word chutefleet.LimitRecord
}

// JudgeAt asks for a JudgeDue event.
type JudgeAt struct {
	At time.Time
}

func (TellCrash) relayEffect()       {}
func (TellJudgement) relayEffect()   {}
func (NoteCrash) relayEffect()       {}
func (NoteJudgement) relayEffect()   {}
func (NoteLimit) relayEffect()       {}
func (TellLimit) relayEffect()       {}
func (JudgeAt) relayEffect()         {}
func (SetDeadline) relayEffect()     {}
func (Send) relayEffect()            {}
func (CancelSend) relayEffect()      {}
func (Deliver) relayEffect()         {}
func (Refuse) relayEffect()          {}
func (Forget) relayEffect()          {}
func (AskParts) relayEffect()        {}
func (DropAsk) relayEffect()         {}
func (GiveParts) relayEffect()       {}
func (RefuseParts) relayEffect()     {}
func (RunCall) relayEffect()         {}
func (FreeResults) relayEffect()     {}
func (DropConnections) relayEffect() {}
func (Probe) relayEffect()           {}
func (NoteZone) relayEffect()        {}
func (NoteEvacuation) relayEffect()  {}
func (TickAt) relayEffect()          {}
func (Charge) relayEffect()          {}
