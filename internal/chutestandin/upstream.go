package chutestandin

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"azurechute.example/azurechute/internal/chuterequest"
)

const (
	// maxFaultLag bounds the history kept for FaultLagLoad.
	maxFaultLag = 10 * time.Second
	// loadStep is how finely the history tells changes apart, so that it stays short under load.
	loadStep = 5 * time.Millisecond

	defaultSlots = 8
	defaultQueue = 256
	// fullRetryAfter is the time to come back that a full queue tells.
	fullRetryAfter = 200 * time.Millisecond
)

// UpstreamSettings is what engines and services have in common.
type UpstreamSettings struct {
	Incarnation string          `help:"Own incarnation; by default derived from the start time."`
	Slots       int             `help:"Calls that run side by side."                             default:"8"`
	Queue       int             `help:"Calls that may wait for a slot before 429."               default:"256"`
	LoadLag     time.Duration   `help:"Age of the load report."`
	LogLimit    int             `help:"Executions kept in the log."                              default:"1000000"`
	Seed        uint64          `help:"Seed of all randomness but the faults'."`
	Clock       clockwork.Clock `json:"-" kong:"-"`
}

func (s UpstreamSettings) withDefaults() UpstreamSettings {
	s.Clock = clockOr(s.Clock)
	if s.Incarnation == "" {
		s.Incarnation = strconv.FormatInt(s.Clock.Now().UnixNano(), 36)
	}

	if s.Slots <= 0 {
		s.Slots = defaultSlots
	}

	if s.Queue <= 0 {
		s.Queue = defaultQueue
	}

	if s.LogLimit <= 0 {
		s.LogLimit = defaultLogLimit
	}

	return s
}

// upstream is the part that engines and services share: slots, load reports, leaving and the execution log.
type upstream struct {
	*injector
	settings UpstreamSettings
	mux      *http.ServeMux
	slots    *slots
	log      *executionLog

	mu      sync.Mutex
	load    chuterequest.Load
	history []datedLoad
	leaving bool
}

type datedLoad struct {
	at   time.Time
	load chuterequest.Load
}

// callHead is what the calls to services and engines have in common.
type callHead struct {
	AttemptID            string
	RequestID            string
	Workspace            string
	Pipeline             string
	Stage                string
	DeadlineMilliseconds int64
	Unrepeatable         bool
}

type refusalBody struct {
	AttemptID              string
	Refused                bool
	Reason                 string
	RetryAfterMilliseconds int64 `json:",omitempty"`
	Leaving                bool  `json:",omitempty"`
}

func newUpstream(settings UpstreamSettings) *upstream {
	settings = settings.withDefaults()
	u := &upstream{
		injector: newInjector(settings.Clock),
		settings: settings,
		mux:      http.NewServeMux(),
		log:      &executionLog{limit: settings.LogLimit},
		load:     chuterequest.Load{Incarnation: settings.Incarnation, Slots: settings.Slots},
	}
	u.slots = &slots{size: settings.Slots, bound: settings.Queue, changed: func(running, waiting int) {
		u.changeLoad(func(load *chuterequest.Load) { load.InFlight, load.Queued = running, waiting })
	}}
	u.changeLoad(func(*chuterequest.Load) {})
	u.mux.HandleFunc("/faults", u.serveFaults)
	u.mux.HandleFunc("GET /executions", u.log.serve)
	u.mux.HandleFunc("GET /v1/load", u.serveLoad)

	return u
}

// ServeHTTP serves the upstream's protocol.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.mux.ServeHTTP(w, r)
}

// Leave makes the upstream refuse new calls and report that it is leaving; running calls finish.
func (u *upstream) Leave() {
	u.mu.Lock()
	u.leaving = true
	u.mu.Unlock()
	u.changeLoad(func(load *chuterequest.Load) { load.Leaving = true })
}

// Idle says that no call is running or waiting.
func (u *upstream) Idle() bool {
	running, waiting := u.slots.counts()
	return running == 0 && waiting == 0
}

// Incarnation returns the incarnation that the load reports carry.
func (u *upstream) Incarnation() string {
	return u.settings.Incarnation
}

// Executions returns the execution log, oldest first.
func (u *upstream) Executions() []Execution {
	return u.log.list()
}

func (u *upstream) changeLoad(change func(*chuterequest.Load)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	change(&u.load)
	now := u.clock.Now()
	if last := len(u.history) - 1; last >= 0 && now.Sub(u.history[last].at) < loadStep {
		u.history[last].load = u.load
		return
	}

	u.history = append(u.history, datedLoad{at: now, load: u.load})

	// One report older than the lag is enough; without a fault none older is ever asked for.
	keep := now.Add(-u.settings.LoadLag - maxFaultLag)
	for len(u.history) > 1 && !u.history[1].at.After(keep) {
		u.history = u.history[1:]
	}
}

func (u *upstream) loadNow() chuterequest.Load {
	u.mu.Lock()
	defer u.mu.Unlock()

	return u.load
}

// loadAgo returns the report as it was that long ago, or the oldest kept.
func (u *upstream) loadAgo(lag time.Duration) chuterequest.Load {
	u.mu.Lock()
	defer u.mu.Unlock()
	until := u.clock.Now().Add(-lag)
	load := u.history[0].load
	for _, dated := range u.history {
		if dated.at.After(until) {
			break
		}

		load = dated.load
	}

	return load
}

func (u *upstream) serveLoad(w http.ResponseWriter, r *http.Request) {
	at := point{path: r.URL.Path}
	u.before(r.Context(), at)
	lag := u.settings.LoadLag
	if extra, ok := u.take(FaultLagLoad, point{path: r.URL.Path, main: true}); ok {
		lag += extra.delay()
	}

	u.deliver(r.Context(), w, at, reply{status: http.StatusOK, body: u.loadAgo(lag)})
}

// admit takes a slot for the call. When it returns false the call was answered, and nothing of it was run.
func (u *upstream) admit(ctx context.Context, w http.ResponseWriter, at point, head callHead, priority int) bool {
	if refuse, ok := u.take(FaultRefuse, at); ok {
		u.refuse(w, head, http.StatusServiceUnavailable, "as told by /faults", refuse.delay())
		return false
	}

	u.mu.Lock()
	leaving := u.leaving
	u.mu.Unlock()
	if leaving {
		u.refuse(w, head, http.StatusServiceUnavailable, "Leaving", 0)
		return false
	}

	if head.DeadlineMilliseconds > 0 {
		limited, cancel := clockwork.WithTimeout(ctx, u.clock, time.Duration(head.DeadlineMilliseconds)*time.Millisecond)
		defer cancel()
		ctx = limited
	}

	switch err := u.slots.acquire(ctx, priority); {
	case err == nil:
		return true
	case errors.Is(err, errQueueFull):
		u.refuse(w, head, http.StatusTooManyRequests, "the queue is full", fullRetryAfter)
	case errors.Is(err, context.DeadlineExceeded):
		u.refuse(w, head, http.StatusServiceUnavailable, "the deadline passed in the queue", 0)
	default:
		u.refuse(w, head, http.StatusServiceUnavailable, "cancelled in the queue", 0)
	}

	return false
}

func (u *upstream) refuse(w http.ResponseWriter, head callHead, status int, reason string, retryAfter time.Duration) {
	reply{status: status, header: map[string]string{"X-Attempt-Id": head.AttemptID}, body: refusalBody{
		AttemptID: head.AttemptID, Refused: true, Reason: reason,
		RetryAfterMilliseconds: retryAfter.Milliseconds(), Leaving: u.loadNow().Leaving,
	}}.write(w)
}

func (u *upstream) logStart(head callHead) int {
	return u.log.start(Execution{
		AttemptID: head.AttemptID, RequestID: head.RequestID, Workspace: head.Workspace, Pipeline: head.Pipeline,
		Stage: head.Stage, StartedAtMilliseconds: u.clock.Now().UnixMilli(), Unrepeatable: head.Unrepeatable,
	})
}
