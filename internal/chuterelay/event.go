package chuterelay

import (
	"time"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chutequarantine"
	"azurechute.example/azurechute/internal/chuteroute"
)

// Event is something that happened to relayed requests or to what they run on.
type Event interface {
	relayEvent()
}

// Submission is a checked request as the front door hands it over.
type Submission struct {
	// Handle is unique to this process.
	Handle uint64
	// ID is the caller's name for this sending; upstreams see it too.
	ID string
	// Fingerprint is the same for all sendings of one request, whatever their IDs.
	Fingerprint string
	Pipeline    chuteroute.Pipeline
	Workspace   chuteroute.Workspace
	// Affinity names the prompt part that other requests share; empty if there is none.
	Affinity     string
	PromptTokens int64
	// Parts is the number of parts of each stage; 0 leaves a stage out.
	Parts []int
	// PartKey names the input of the first stages.
	PartKey  string
	Deadline time.Time
	// Wait is how long the caller said that it waits; 0 if it did not say.
	Wait time.Duration
}

// ConfigAdopted reports a newer configuration.
type ConfigAdopted struct {
	Config chuteroute.Config
}

// UpstreamsListed reports the platform's whole list; Hold keeps those that are missing from it.
type UpstreamsListed struct {
	Upstreams []chutefleet.Upstream
	Hold      bool
}

// ZonesEvacuated reports all zones to whose upstreams the operator wants nothing sent.
type ZonesEvacuated struct {
	Zones []string
}

// PeersListed reports all nodes, this one included.
type PeersListed struct {
	Peers []Peer
}

// Arrived reports a new request.
type Arrived struct {
	Submission
}

// CallerLeft reports that nobody waits for the answer any more.
type CallerLeft struct {
	Handle uint64
}

// DeadlinePassed reports that a request's time is over.
type DeadlinePassed struct {
	Handle uint64
}

// PartsMade reports that a peer's collector has all results of an ask.
type PartsMade struct {
	Ask     uint64
	Results []chutebatch.Result
	// Wait is how long a job of the same kind would wait there now; Beyond says that this
	// holds for its workspace alone, which is beyond its share.
	Wait   time.Duration
	Beyond bool
	// Loads are on upstreams that are crowded.
	Loads []chutefleet.LoadReport
}

// PartsFailed reports that an ask brought no results.
type PartsFailed struct {
	Ask uint64
	// PeerLost says that the peer itself is gone, leaving or silent, PeerSilent that
	// nothing came back from it.
	PeerLost   bool
	PeerSilent bool
	Reason     string
	// Wait is how long a job of the same kind would wait there now; Beyond says that this
	// holds for its workspace alone, which is beyond its share.
	Wait   time.Duration
	Beyond bool
	// Loads are on upstreams that are crowded.
	Loads []chutefleet.LoadReport
}

// JobAsked reports that a peer asks this node's collector for a job; Token names it in effects.
type JobAsked struct {
	Token uint64
	Job   chutebatch.Job
	// Loads are what the peer has heard of upstreams' loads.
	Loads []chutefleet.LoadReport
}

// JobDropped reports that a peer needs a job, or its results, no longer.
type JobDropped struct {
	Token uint64
}

// CallEnded reports the end of a call with parts.
type CallEnded struct {
	ID   uint64
	End  chutebatch.CallOutcome
	Ends []chutebatch.PartOutcome
	Took time.Duration
	// Failure is empty unless the upstream failed in a way that counts against it.
	Failure chutefleet.FailureKind
	// Silent says that nothing came back, not even a refused connection.
	Silent  bool
	Leaving bool
	// UpstreamEnded says that the upstream's process has ended, not just the connection.
	UpstreamEnded bool
	// Limit is the upstream's word on the requests that it takes; nil if it has none.
	Limit *Limit
}

// AttemptBegan reports that the first event of a stream is on its way to the caller.
type AttemptBegan struct {
	Handle  uint64
	Attempt uint64
	// Load is the upstream's own word on its load, or nil.
	Load *Load
	// Limit is the upstream's word on the requests that it takes; nil if it has none.
	Limit *Limit
}

// AttemptEnd is how a relayed call ended.
type AttemptEnd string

// The ends of a relayed call.
const (
	// EndAnswered: a whole, checked answer of the upstream.
	EndAnswered AttemptEnd = "Answered"
	// EndErrored: a whole answer by which the upstream says that it failed.
	EndErrored AttemptEnd = "Errored"
	// EndRefused: the upstream says that it did not run the call.
	EndRefused AttemptEnd = "Refused"
	// EndInputGone: it did not run because a stage's result is gone.
	EndInputGone AttemptEnd = "InputGone"
	// EndMisaddressed: another incarnation or service has the address; it did not run.
	EndMisaddressed AttemptEnd = "Misaddressed"
	// EndUnreachable: no byte of the request went out.
	EndUnreachable AttemptEnd = "Unreachable"
	// EndBroken: the connection broke, or the answer was not one; the call may have run.
	EndBroken AttemptEnd = "Broken"
	// EndSilent: no sign of life; the call may have run.
	EndSilent AttemptEnd = "Silent"
)

// AttemptEnded reports the end of a relayed call.
type AttemptEnded struct {
	Handle  uint64
	Attempt uint64
	End     AttemptEnd
	// HasAnswer says that the upstream's own answer can be passed on.
	HasAnswer bool
	// Silent says that nothing came back, not even a refused connection.
	Silent bool
	// Events counts the events that went to the caller in this attempt.
	Events  int
	Leaving bool
	// UpstreamEnded says that the upstream's process has ended, not just the connection.
	UpstreamEnded bool
	Load          *Load
	// Cold is how much longer the upstream says that it stays cold; 0 if it does not say.
	Cold time.Duration
	// Limit is the upstream's word on the requests that it takes; nil if it has none.
	Limit *Limit
	// Detail is what the log shows of a failure.
	Detail string
}

// Load is an upstream's word on its load.
type Load struct {
	Running int
	Waiting int
}

// Limit is what an answer says of the requests a second that its upstream takes from all nodes together.
type Limit struct {
	// Named says that it names a limit; an answer that names none says that there is none.
	Named     bool
	PerSecond float64
	// Unreadable is a word that is no rate.
	Unreadable string
}

// ProbeEnded reports whether a silent upstream accepts connections again.
type ProbeEnded struct {
	Upstream string
	Alive    bool
}

// LimitsHeard reports what other nodes tell of upstreams' limits.
type LimitsHeard struct {
	Words []chutefleet.LimitRecord
}

// QuarantineHeard reports what other nodes tell of crashes and judgements.
type QuarantineHeard struct {
	Crashes    []chutequarantine.Crash
	Judgements []chutequarantine.Judgement
}

// JudgeDue reports that crashes can be judged.
type JudgeDue struct{}

// DrainStarted reports that the process was asked to end.
type DrainStarted struct{}

// DrainEnding reports that the process ends soon.
type DrainEnding struct{}

// Ticked reports that waiting parts should be looked over.
type Ticked struct{}

func (ConfigAdopted) relayEvent()   {}
func (UpstreamsListed) relayEvent() {}
func (ZonesEvacuated) relayEvent()  {}
func (PeersListed) relayEvent()     {}
func (Arrived) relayEvent()         {}
func (CallerLeft) relayEvent()      {}
func (DeadlinePassed) relayEvent()  {}
func (PartsMade) relayEvent()       {}
func (PartsFailed) relayEvent()     {}
func (JobAsked) relayEvent()        {}
func (JobDropped) relayEvent()      {}
func (CallEnded) relayEvent()       {}
func (AttemptBegan) relayEvent()    {}
func (AttemptEnded) relayEvent()    {}
func (ProbeEnded) relayEvent()      {}
func (QuarantineHeard) relayEvent() {}
func (JudgeDue) relayEvent()        {}
func (LimitsHeard) relayEvent()     {}
func (DrainStarted) relayEvent()    {}
func (DrainEnding) relayEvent()     {}
func (Ticked) relayEvent()          {}
