package chutegate

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutecanary"
	"azurechute.example/azurechute/internal/chutefeed"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chutememory"
	"azurechute.example/azurechute/internal/chuterelay"
	"azurechute.example/azurechute/internal/chuteroute"
	"azurechute.example/azurechute/internal/chutestream"
)

// IncomingRequest is one request as the platform's HTTP server has decoded it.
type IncomingRequest struct {
	// ID is the caller's ID for this request; it differs each time the request is sent.
	ID     string
	Host   string
	Method string
	// URI is the path and query, byte for byte as received.
	URI  string
	Path string
	// Header holds the fields that are passed on to the upstream.
	Header http.Header
	Body   []byte
	// Key is the caller's API key, empty if there is none.
	Key string
	// Wait is how long the caller waits for an answer; 0 if it did not say.
	Wait time.Duration
	// LastEventID is the number of the last event that the caller received when it sent the request
	// before; -1 if there is none.
	LastEventID int
	// TakesUp says that the caller has events of the stream from an earlier sending.
	TakesUp bool
	// Resumes is the ID of the sending that brought the first event of the stream that the caller takes
	// up; empty if it names none.
	Resumes string
	// Affinity identifies the part of the prompt that other requests share.
	Affinity     string
	PromptTokens int64
	// PromptParts are the ids of the parts of the prompt that other prompts may share, each once.
	PromptParts []string
	// MaxOutputTokens is the most tokens that the answer may have; 0 if the caller did not say. OutputHint is the caller's
	// estimate of them; 0 if there is none. SharedTokens is how many of the prompt's tokens are in parts that other
	// prompts may share.
	MaxOutputTokens int64
	OutputHint      int64
	SharedTokens    int64
	// Parts is the number of parts of each stage. PartKey is the input of the first stage.
	Parts   []int
	PartKey string
	// Memory is what the node holds for the request; nil if nothing bounds that.
	Memory *chutememory.Hold
}

// Output writes the answer to a caller. Its functions are called by one goroutine at a time; all
// fields must be set.
type Output struct {
	// WriteAnswer writes a complete answer.
	WriteAnswer func(status int, h http.Header, body []byte)
	// BeginStream writes the head of a stream that is bound to b, WriteEvent one event, and EndStream the regular end
	// of the stream.
	BeginStream func(status int, h http.Header, b chutestream.Binding)
	WriteEvent  func(event []byte) error
	EndStream   func()
	// AbortStream ends a stream that has begun, in a way that can't be taken for a regular end.
	AbortStream func()
	// Refuse writes the reason why there is no answer.
	Refuse func(r chuterelay.Refusal)
}

// Call is one call to an upstream.
type Call struct {
	Incoming  *IncomingRequest
	Upstream  chutefleet.Upstream
	Workspace string
	TimeLeft  time.Duration
	Inputs    []string
	// LastEventID is the number of the last event that the caller has; -1 if it has none.
	LastEventID int
	Fresh       bool
	Priority    int
}

// Answer is an upstream's answer with its platform-specific header fields decoded.
type Answer struct {
	Status int
	// Header holds the fields that are passed on to the caller.
	Header http.Header
	// Signed is true if the upstream vouches for the answer by a signature.
	Signed bool
	// NotRun is true if the upstream did not run the call, InputGone if the result of an earlier
	// stage was missing, and Misaddressed if another incarnation has the address now.
	NotRun       bool
	InputGone    bool
	Misaddressed bool
	// Altered is true if the body is not in the bytes that the upstream produced.
	Altered       bool
	IsEventStream bool
	// Length is the length of Body in bytes, 0 if it is not known.
	Length int64
	// Binding is what a peer says that the stream is bound to; zero for upstreams.
	Binding chutestream.Binding
	Load    *chuterelay.Load
	// Cold is how much longer the upstream says that it stays cold; 0 if it does not say.
	Cold time.Duration
	// Limit is the upstream's statement on how many requests it accepts; nil if it makes none.
	Limit *chuterelay.Limit
	// Brittle is what the upstream says of calls that it may have to turn away; nil if it is another one.
	Brittle *chuterelay.Brittle
	// Notice is what the upstream says about itself.
	Notice chuterelay.Notice
	Body   io.ReadCloser
}

// SendError is a call that failed before there was an answer.
type SendError struct {
	// Unsent is true only if the upstream can't have seen the call. Silent is true if the upstream
	// gave no sign of life.
	Unsent bool
	Silent bool
	Err    error
}

// Error returns the text of the cause.
func (e *SendError) Error() string {
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error {
	return e.Err
}

// PartsAnswer is an upstream's answer to a call with parts.
type PartsAnswer struct {
	Ends    []chutebatch.PartOutcome
	Refused bool
	// Leaving is true if another incarnation has the address now.
	Leaving bool
	// Limit is the upstream's statement on how many requests it accepts; nil if it makes none.
	Limit *chuterelay.Limit
	// Brittle is what the upstream says of calls that it may have to turn away; nil if it is another one.
	Brittle *chuterelay.Brittle
	// Notice is what the upstream says about itself.
	Notice chuterelay.Notice
}

// PartRequest is one part of a stage as it is sent to an upstream.
type PartRequest struct {
	Request  string
	Stage    int
	Index    int
	TimeLeft time.Duration
	Key      string
	Inputs   []string
}

// AddressState is what an attempt to open a connection shows about an address.
type AddressState string

// The states of an address.
const (
	// AddressAccepts: a process accepts connections.
	AddressAccepts AddressState = "Accepts"
	// AddressRefuses: the VM can be reached, and no process listens.
	AddressRefuses AddressState = "Refuses"
	// AddressSilent: neither; this proves nothing.
	AddressSilent AddressState = "Silent"
)

// acceptsConnections reports whether a process accepts connections at an address.
func (u Upstreams) acceptsConnections(ctx context.Context, address string) bool {
	return u.ProbeAddress(ctx, address) == AddressAccepts
}

// Upstreams holds the functions that call upstreams; all fields must be set.
type Upstreams struct {
	// Exchange sends a call and returns the answer; its error is a *SendError.
	Exchange func(ctx context.Context, c Call) (Answer, error)
	// RunParts runs a batch of parts; its error is a *SendError.
	RunParts func(ctx context.Context, u chutefleet.Upstream, parts []PartRequest) (PartsAnswer, error)
	// FreeResults tells an upstream which results are no longer needed, and returns what its answer
	// says about itself.
	FreeResults func(ctx context.Context, u chutefleet.Upstream, refs []string) (chuterelay.Notice, error)
	// ProbeAddress opens a connection to an address and returns what that shows.
	ProbeAddress func(ctx context.Context, address string) AddressState
	// CloseIdle closes the unused connections to an address.
	CloseIdle func(address string)
	// TrimIdle closes connections that have been idle for too long.
	TrimIdle func()
}

// Row is one row of the platform's store.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
	Deleted bool
}

// Page is an answer of the store, with the position that it is valid for.
type Page struct {
	Rows []Row
	// Era is the store's era, 0 if the answer does not state it, and Version its version in the era.
	Era     uint64
	Version uint64
	// More says that the store has changes after Version already, which did not fit in the answer.
	More bool
}

// ErrStoreRefused is returned if the store has answered a call without carrying it out.
var ErrStoreRefused = errors.New("the store refused the call")

// ErrCompacted is returned by AwaitChanges if the store has dropped the requested history; the
// whole table has to be read again.
var ErrCompacted = errors.New("the store no longer has these changes")

// Store holds the functions that call the platform's store; all fields must be set.
type Store struct {
	// AwaitChanges returns the changes of a table after a version, and waits up to wait if there
	// are none yet.
	AwaitChanges func(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
	// ReadAll reads a whole table.
	ReadAll func(ctx context.Context, table string) (Page, error)
	// Put writes one row, and Remove deletes one.
	Put    func(ctx context.Context, table, key string, value []byte) error
	Remove func(ctx context.Context, table, key string) error
	// WriteRows writes and deletes rows unconditionally, in one transaction.
	WriteRows func(ctx context.Context, table string, put []Row, remove []string) error
	// ReplaceIfUnchanged writes rows of one partition of a table in one transaction, on the
	// condition that each row still has the given version (0: absent). It returns the rows' new
	// version, or the present rows if the condition does not hold, those that don't exist with version 0.
	ReplaceIfUnchanged func(ctx context.Context, table, part string, rows []Row) (version uint64, present []Row, err error)
	// WriteRollout writes the record of a rollout, encoded as value, and what the operator reads of it, in
	// one transaction, on the condition that the record's row still has the version that the record
	// states. It returns the row's new position, or false if the condition does not hold.
	WriteRollout func(ctx context.Context, record chutecanary.Record, value []byte) (at chutefeed.Position, written bool, err error)
}

// Decoders holds the functions that decode the platform's rows; all fields must be set.
type Decoders struct {
	Config func(value []byte) (chuteroute.Config, error)
	// EvacuatedZone returns the zone that a row of the configuration's table marks as evacuated,
	// which follows from the row's key; false for all other rows.
	EvacuatedZone func(key string) (zone string, ok bool)
	Upstream      func(key string, value []byte) (chutefleet.Upstream, error)
	// Rollout returns the order that a row of the configuration's table holds, to move a pool to another
	// version; false for all other rows. The revision is the version of the row. With an
	// error the order has the pool alone.
	Rollout func(key string, value []byte, revision uint64) (chutecanary.Order, bool, error)
	// NormalizeUpstreamEntry returns an upstream's entry without what changes with each heartbeat.
	// An entry that can't be decoded is returned unchanged.
	NormalizeUpstreamEntry func(value []byte) []byte
}

// Tables names the tables of the store.
type Tables struct {
	Config    string
	ConfigKey string
	Upstreams string
	// Peers is this project's table of nodes, and Ledger its table of cost counters. Quarantine
	// holds crashes, the requests that are quarantined, and the limits of upstreams.
	Peers      string
	Ledger     string
	Quarantine string
	// Rollouts is this project's table of the records of rollouts.
	Rollouts string
}
