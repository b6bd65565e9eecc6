package chuterelay

import (
	"time"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutecanary"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chutequarantine"
)

// Effect is an action for the node to carry out, as data. Effects are carried out in order.
type Effect interface {
	relayEffect()
}

// SetDeadline schedules a DeadlinePassed event.
type SetDeadline struct {
	Handle uint64
	At     time.Time
}

// Send sends a request to an upstream.
type Send struct {
	Handle    uint64
	Attempt   uint64
	Upstream  chutefleet.Upstream
	Workspace string
	Deadline  time.Time
	// Inputs are the references of stage results that the upstream fetches.
	Inputs []string
	// Resume continues after the last event that the caller has.
	Resume bool
	// FreshConnection demands a connection that was never used: a stale one could lose an unrepeatable request, or
	// deliver one after the end of a partition.
	FreshConnection bool
	// Replaceable says that another upstream may take over. While a replaceable call is silent,
	// the upstream is probed for whether it still accepts connections, and the call is given up if
	// not.
	Replaceable bool
	// Streams says that events are passed on as they arrive.
	Streams  bool
	Priority int
	// Peer is the node that is to serve the request, in place of an upstream; its name is empty if there
	// is none. The fields below are for it: how many upstreams may have run the request, when it arrived,
	// and whether it has been counted for the retry budget.
	Peer         Peer
	PossibleRuns int
	ArrivedAt    time.Time
	Counted      bool
}

// CancelSend ends an attempt whose answer is not needed any more.
type CancelSend struct {
	Handle  uint64
	Attempt uint64
}

// Deliver passes the attempt's answer to the caller, or ends its stream as complete.
type Deliver struct {
	Handle  uint64
	Attempt uint64
}

// Refuse reports to the caller why there is no answer; a stream that has begun is broken off.
type Refuse struct {
	Handle  uint64
	Refusal Refusal
}

// Forget drops the node's record of a request.
type Forget struct {
	Handle uint64
}

// RequestJob requests a job from a peer's collector.
type RequestJob struct {
	JobRequestID uint64
	Peer         Peer
	Job          chutebatch.Job
	// Loads are upstream loads that this node has learned since its last job request.
	Loads []chutefleet.LoadReport
}

// CancelJob reports to the peer that the job or its results are not needed any more.
type CancelJob struct {
	JobRequestID uint64
}

// ReturnResults answers a peer's job with its results.
type ReturnResults struct {
	Token   uint64
	Results []chutebatch.Result
	// Wait is how long a job of the same kind would wait here now. OverShare says that this holds
	// for the job's workspace alone, which is over its share.
	Wait      time.Duration
	OverShare bool
	// Loads are those of overloaded upstreams.
	Loads []chutefleet.LoadReport
}

// RejectJob reports to a peer that its job yields no results.
type RejectJob struct {
	Token   uint64
	Reason  string
	Leaving bool
	// Wait is how long a job of the same kind would wait here now. OverShare says that this holds
	// for the job's workspace alone, which is over its share.
	Wait      time.Duration
	OverShare bool
	// Loads are those of overloaded upstreams.
	Loads []chutefleet.LoadReport
}

// RunCall sends a batch of parts to an upstream.
type RunCall struct {
	Call     chutebatch.Call
	Upstream chutefleet.Upstream
	Timeout  time.Duration
}

// FreeResults reports to an upstream which results are not needed any more.
type FreeResults struct {
	Upstream chutefleet.Upstream
	Refs     []string
}

// DropConnections closes the connections kept to an address whose process has ended.
type DropConnections struct {
	Address string
}

// Probe checks, at a time, whether an upstream accepts connections.
type Probe struct {
	Upstream chutefleet.Upstream
	At       time.Time
}

// LogZone logs that another zone is considered cut off, or has replied again.
type LogZone struct {
	Zone   string
	CutOff bool
	// Silent are the nodes and upstreams whose silence was the evidence.
	Silent []string
}

// LogEvacuation logs that a zone is evacuated from now on, or not any more.
type LogEvacuation struct {
	Zone      string
	Evacuated bool
}

// TickAt schedules a Ticked event.
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

// AnnounceCrash announces to the other nodes an upstream's crash that this node observed.
type AnnounceCrash struct {
	Crash chutequarantine.Crash
}

// AnnounceJudgement announces a judgement to the other nodes.
type AnnounceJudgement struct {
	Judgement chutequarantine.Judgement
}

// LogCrash logs an upstream's crash with the requests that this node had there.
type LogCrash struct {
	Crash chutequarantine.Crash
	// Evidence is what showed that the process has ended.
	Evidence string
}

// LogJudgement logs a judgement that this node has reached or, if Announced, received from another
// one.
type LogJudgement struct {
	Judgement chutequarantine.Judgement
	// Since is how long ago this node first heard of a crash that is evidence. Survived is at how many of the crashes
	// upstreams had survived what the judgement is on.
	Since     time.Duration
	Survived  int
	Announced bool
}

// LogUpstreamLimit logs a change of the rate of requests that an upstream accepts.
type LogUpstreamLimit struct {
	Upstream chutefleet.Upstream
	// Limited says that the upstream has a limit now.
	Limited bool
	Limit   chutefleet.Limit
	// Unreadable is the upstream's own text for the limit, if that is not a rate.
	Unreadable string
	// AnnouncedBy is the node that announced the limit; empty if an answer to this node named it.
	AnnouncedBy string
}

// LogNotice logs what an upstream says about itself.
type LogNotice struct {
	Upstream chutefleet.Upstream
	Notice
}

// AnnounceLimit announces a change of an upstream's limit to the other nodes.
type AnnounceLimit struct {
	Limit chutefleet.LimitRecord
}

// JudgeAt schedules a JudgeDue event.
type JudgeAt struct {
	At time.Time
}

// SendRolloutReport sends a report on a rollout to other nodes.
type SendRolloutReport struct {
	Peers  []Peer
	Report chutecanary.Report
}

// WriteRollout writes a record to the store if the row still has the version that the record states.
type WriteRollout struct {
	Record chutecanary.Record
}

// RolloutTickAt schedules a RolloutTicked event.
type RolloutTickAt struct {
	At time.Time
}

// LogRolloutOrder logs an order to move a pool to another version, or that it was withdrawn.
type LogRolloutOrder struct {
	Order     chutecanary.Order
	Withdrawn bool
}

// LogRollout logs a record that this node acts on from now on.
type LogRollout struct {
	Record chutecanary.Record
}

func (SendRolloutReport) relayEffect() {}
func (WriteRollout) relayEffect()      {}
func (RolloutTickAt) relayEffect()     {}
func (LogRolloutOrder) relayEffect()   {}
func (LogRollout) relayEffect()        {}
func (AnnounceCrash) relayEffect()     {}
func (AnnounceJudgement) relayEffect() {}
func (LogCrash) relayEffect()          {}
func (LogJudgement) relayEffect()      {}
func (LogUpstreamLimit) relayEffect()  {}
func (LogNotice) relayEffect()         {}
func (AnnounceLimit) relayEffect()     {}
func (JudgeAt) relayEffect()           {}
func (SetDeadline) relayEffect()       {}
func (Send) relayEffect()              {}
func (CancelSend) relayEffect()        {}
func (Deliver) relayEffect()           {}
func (Refuse) relayEffect()            {}
func (Forget) relayEffect()            {}
func (RequestJob) relayEffect()        {}
func (CancelJob) relayEffect()         {}
func (ReturnResults) relayEffect()     {}
func (RejectJob) relayEffect()         {}
func (RunCall) relayEffect()           {}
func (FreeResults) relayEffect()       {}
func (DropConnections) relayEffect()   {}
func (Probe) relayEffect()             {}
func (LogZone) relayEffect()           {}
func (LogEvacuation) relayEffect()     {}
func (TickAt) relayEffect()            {}
func (Charge) relayEffect()            {}
