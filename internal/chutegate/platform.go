package chutegate

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuterelay"
	"azurechute.example/azurechute/internal/chuteroute"
)

// IncomingRequest is one request as the front door has read it.
type IncomingRequest struct {
	// ID is the caller's name for this sending.
	ID     string
	Host   string
	Method string
	// URI is the path and query as they came, byte for byte.
	URI  string
	Path string
	// Header holds what goes on to the upstream.
	Header http.Header
	Body   []byte
	// Key is the caller's key, empty if there is none.
	Key string
	// Wait is how long the caller waits; 0 if it did not say.
	Wait time.Duration
	// LastEvent is the number of the last event that the caller has of an earlier
	// sending; -1 if there is none.
	LastEventID int
	// Affinity names the part of the prompt that other requests share.
	Affinity     string
	PromptTokens int64
	// Parts is the number of parts of each stage, PartKey the input of the first.
	Parts   []int
	PartKey string
}

// Output takes the answer to a caller; its functions are called by one goroutine at a time.
type Output struct {
	// Whole writes a whole answer.
	WriteAnswer func(status int, h http.Header, body []byte)
	// Begin writes the head of a stream, Event one event, and End its proper end.
	BeginStream func(status int, h http.Header)
	WriteEvent  func(event []byte) error
	EndStream   func()
	// Break ends a stream that has begun in a way that can't be taken for its end.
	AbortStream func()
	// Refuse says why there is no answer.
	Refuse func(r chuterelay.Refusal)
}

// Call is one relayed call.
type Call struct {
	Incoming  *IncomingRequest
	Upstream  chutefleet.Upstream
	Workspace string
	TimeLeft  time.Duration
	Inputs    []string
	// LastEvent is the last event that the caller has; -1 if it has none.
	LastEventID int
	Fresh       bool
	Priority    int
}

// Answer is an upstream's answer with its marks decoded.
type Answer struct {
	Status int
	// Header holds what goes on to the caller.
	Header http.Header
	// Signed says that the upstream vouches for the answer.
	Signed bool
	// NotRun says that the upstream did not run the call, InputGone that a stage's
	// result was missing, and Misaddressed that another incarnation has the address.
	NotRun       bool
	InputGone    bool
	Misaddressed bool
	// Altered says that the body is not in the upstream's own bytes.
	Altered       bool
	Leaving       bool
	IsEventStream bool
	Load          *chuterelay.Load
	// Cold is how much longer the upstream says that it stays cold; 0 if it does not say.
	Cold time.Duration
	// Limit is the upstream's word on the requests that it takes; nil if it has none.
	Limit *chuterelay.Limit
	Body  io.ReadCloser
}

// SendError says how a call failed before there was an answer.
type SendError struct {
	// Unsent is true only if the upstream can't have seen the call.
	Unsent bool
	Silent bool
	Err    error
}

// Error returns the cause's text.
func (e *SendError) Error() string {
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error {
	return e.Err
}

// PartsAnswer is an upstream's answer to a call with parts.
type PartsAnswer struct {
	Ends    []chutebatch.PartEnd
	Refused bool
	Leaving bool
	// Limit is the upstream's word on the requests that it takes; nil if it has none.
	Limit *chuterelay.Limit
}

// PartRequest is one part as an upstream is asked for it.
type PartRequest struct {
	Request  string
	Stage    int
	Index    int
	TimeLeft time.Duration
	Key      string
	Inputs   []string
}

// Upstreams calls upstreams; all fields must be set.
type Upstreams struct {
	// Exchange hands a call over; its error is a *SendError.
	Exchange func(ctx context.Context, c Call) (Answer, error)
	// RunParts runs a batch; its error is a *SendError.
	RunParts func(ctx context.Context, u chutefleet.Upstream, parts []PartRequest) (PartsAnswer, error)
	// Free tells an upstream which results nobody needs.
	FreeResults func(ctx context.Context, u chutefleet.Upstream, refs []string) error
	// Ended says whether a process that was at an address has ended: the VM is there and
	// refuses connections. No answer proves nothing.
	HasEnded func(ctx context.Context, address string) bool
	// Alive says whether anything accepts connections at an address.
	AcceptsConnections func(ctx context.Context, address string) bool
	// Forget closes the unused connections to an address.
	CloseIdle func(address string)
	// Trim drops connections that were idle for too long.
	TrimIdle func()
}

// Row is one row of the platform's store.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
	Deleted bool
}

// Page is what the store answered, and the version as of which it is true.
type Page struct {
	Rows    []Row
	Version uint64
}

// ErrCompacted says that the store has forgotten the changes asked for; everything has to be read again.
var ErrCompacted = errors.New("the store no longer has these changes")

// Store is the platform's store; all fields must be set.
type Store struct {
	// Changes waits for changes of a table after a version, up to wait.
	AwaitChanges func(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
	// All reads a whole table.
	ReadAll func(ctx context.Context, table string) (Page, error)
	// Put and Remove change one row.
	Put    func(ctx context.Context, table, key string, value []byte) error
	Remove func(ctx context.Context, table, key string) error
	// Change writes and deletes rows whatever they are, all or none.
	WriteRows func(ctx context.Context, table string, put []Row, remove []string) error
	// Replace writes rows of one part of a table, each on the condition that it has the
	// given version (0: absent), all or none. It returns their new version, or else the
	// rows as they are.
	ReplaceIfUnchanged func(ctx context.Context, table, part string, rows []Row) (version uint64, present []Row, err error)
}

// Decoders read the platform's rows; all fields must be set.
type Decoders struct {
	Config func(value []byte) (chuteroute.Config, error)
	// EvacuatedZone returns the zone that a row of the configuration's table says is
	// evacuated, by its key; false for all other rows.
	EvacuatedZone func(key string) (zone string, ok bool)
	Upstream      func(key string, value []byte) (chutefleet.Upstream, error)
	// UpstreamEssence returns an upstream's entry without what each heartbeat changes;
	// one that can't be read is returned as it is.
	UpstreamWithoutHeartbeat func(value []byte) []byte
}

// Tables names the store's tables.
type Tables struct {
	Config    string
	ConfigKey string
	Upstreams string
	// Peers is the project's own table of nodes, Ledger that of cost counters.
	// Quarantine is that of crashes, of the requests that are set aside, and of upstreams' limits.
	Peers      string
	Ledger     string
	Quarantine string
}
