package chutestandin

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"azurechute.example/azurechute/internal/chuteprompt"
	"azurechute.example/azurechute/internal/chuterequest"
)

// bytesPerToken is how the stand-in counts a prompt's tokens.
const bytesPerToken = 4

// EngineSettings sets up an Engine.
type EngineSettings struct {
	UpstreamSettings `embed:""`

	TokenTime       time.Duration `help:"Time of each generated token."                          default:"10ms"`
	PrefillTime     time.Duration `help:"Time of each prompt block that is not cached."          default:"2ms"`
	CacheBlocks     int           `help:"Prompt blocks held in the cache."                       default:"1024"`
	EventLag        time.Duration `help:"Age at which cache events show."`
	EventGaps       float64       `help:"Share of cache events that are lost, 0 to 1."`
	HonourFencing   bool          `help:"Refuse orders with an old fencing number."              default:"true" negatable:""`
	LoadTime        time.Duration `help:"Time to load a model, version or adapter."              default:"1s"`
	OrdersPerMinute int           `help:"Loads that the weight store allows; 0 means no limit."`
	Model           string        `help:"Model loaded at the start; empty answers for any model."`
	Version         string        `help:"Version loaded at the start."`
	Adapter         string        `help:"Adapter loaded at the start."`
	Role            string        `help:"Role at the start."                                     default:"Mixed"`
}

// Engine is the stand-in for a model engine.
type Engine struct {
	*upstream
	settings EngineSettings
	cache    *prefixCache

	// orders bounds loads to the weight store's rate; loading is held while one goes on.
	orders  *rate.Limiter
	loading sync.Mutex

	runningMu sync.Mutex
	running   map[string]context.CancelFunc
	random    *rand.Rand
}

type generateRequest struct {
	callHead

	Model        string
	Version      string
	Adapter      string
	Prompt       string
	MaxTokens    int
	Priority     int
	ResumeOffset int
	ResumeText   string
}

type cancelRequest struct {
	AttemptID string
}

// NewEngine returns a running engine; zero times generate as fast as the machine allows.
func NewEngine(settings EngineSettings) *Engine {
	e := &Engine{
		upstream: newUpstream(settings.UpstreamSettings),
		settings: settings,
		cache:    newPrefixCache(settings.CacheBlocks),
		orders:   newOrderLimiter(settings.OrdersPerMinute),
		running:  map[string]context.CancelFunc{},
		random:   rand.New(rand.NewPCG(settings.Seed, 0)), //nolint:gosec // faults and delays are drawn from a seed
	}
	e.changeLoad(func(load *chuterequest.Load) {
		load.Model, load.Version, load.Adapter, load.Role = settings.Model, settings.Version, settings.Adapter, settings.Role
	})
	e.mux.HandleFunc("POST /v1/generate", jsonCall(e.serveGenerate))
	e.mux.HandleFunc("POST /v1/cancel", jsonCall(e.serveCancel))
	e.mux.HandleFunc("GET /v1/cache-events", e.serveCacheEvents)
	e.mux.HandleFunc("POST /v1/orders", jsonCall(e.serveOrder))

	return e
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request, req generateRequest) {
	at := point{path: r.URL.Path, stage: req.Stage, main: true}
	e.before(r.Context(), at)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	e.remember(req.AttemptID, cancel)
	defer e.forget(req.AttemptID)
	slow, _ := e.take(FaultSlow, at)
	_ = sleep(ctx, e.clock, slow.delay())
	if !e.serves(req) {
		e.refuse(w, req.callHead, http.StatusServiceUnavailable, "the model is not loaded", 0)
		return
	}

	if !e.admit(ctx, w, at, req.callHead, req.Priority) {
		return
	}
	defer e.slots.release()
	e.generate(ctx, w, at, req, max(slow.Factor, 0))
}

// serves says whether the engine has loaded what the call asks for; empty words ask for nothing.
func (e *Engine) serves(req generateRequest) bool {
	load := e.loadNow()
	same := func(asked, loaded string) bool { return asked == "" || loaded == "" || asked == loaded }

	return same(req.Model, load.Model) && same(req.Version, load.Version) && same(req.Adapter, load.Adapter)
}

func (e *Engine) remember(attempt string, cancel context.CancelFunc) {
	e.runningMu.Lock()
	defer e.runningMu.Unlock()
	e.running[attempt] = cancel
}

func (e *Engine) forget(attempt string) {
	e.runningMu.Lock()
	defer e.runningMu.Unlock()
	delete(e.running, attempt)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request, req cancelRequest) {
	at := point{path: r.URL.Path}
	e.before(r.Context(), at)
	e.runningMu.Lock()
	cancel := e.running[req.AttemptID]
	e.runningMu.Unlock()
	if cancel != nil {
		cancel()
	}

	e.deliver(r.Context(), w, at, reply{status: http.StatusOK, body: struct{}{}})
}

// generate runs an admitted call: prefill of what is not cached, then the tokens.
func (e *Engine) generate(ctx context.Context, w http.ResponseWriter, at point, req generateRequest, factor float64) {
	if factor == 0 {
		factor = 1
	}

	n := e.logStart(req.callHead)
	blocks := chuteprompt.Blocks(req.Prompt)
	cached := e.cache.cached(blocks)
	cachedUnits := int64(cached * chuteprompt.BlockBytes / bytesPerToken)
	promptUnits := int64((len(req.Prompt)+bytesPerToken-1)/bytesPerToken+req.ResumeOffset) - cachedUnits
	e.log.update(n, func(x *Execution) { x.PromptUnits, x.CachedUnits = promptUnits, cachedUnits })
	prefill := time.Duration(int64(e.settings.PrefillTime) * (promptUnits*bytesPerToken + chuteprompt.BlockBytes - 1) / chuteprompt.BlockBytes)
	if sleep(ctx, e.clock, scaled(prefill, factor)) != nil {
		return
	}

	e.cache.add(blocks, e.clock.Now(), e.eventLost)
	s := e.newStream(w, at, req, scaled(e.settings.TokenTime, factor))
	s.promptUnits, s.cachedUnits = promptUnits, cachedUnits
	s.progress = func(units int64, completed bool) {
		e.log.update(n, func(x *Execution) { x.Units, x.Completed = units, completed })
	}
	s.run(ctx)
}

// eventLost is only called under the cache's lock, which guards random too.
func (e *Engine) eventLost() bool {
	_, lost := e.take(FaultDropEvents, point{path: "/v1/cache-events", main: true})
	return lost || e.settings.EventGaps > 0 && e.random.Float64() < e.settings.EventGaps
}

func scaled(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
