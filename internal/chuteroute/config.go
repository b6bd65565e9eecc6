package chuteroute

import (
	"strings"
	"time"
)

// Repeatability says what may be done with a request that has been handed to an upstream.
type Repeatability string

// The kinds of repeatability.
const (
	// Repeatable work may run any number of times.
	Repeatable Repeatability = "Repeatable"
	// Unrepeatable work runs at most once; after it may have run it is never sent again.
	Unrepeatable Repeatability = "Unrepeatable"
	// Resumable work is a stream that another upstream can continue after its last whole event.
	Resumable Repeatability = "Resumable"
)

// Config is everything that a node needs to know to relay requests; immutable.
type Config struct {
	// Version only grows; a node never adopts a lower one.
	Version   uint64
	Pipelines []Pipeline
	Pools     map[string]Pool
	// Workspaces maps each accepted key to its owner.
	Workspaces map[string]Workspace
	// Keyed says that requests need a key unless their pipeline is public.
	Keyed  bool
	Limits Limits

	// byHost maps a host and a prefix to the index of the pipeline.
	byHost map[string]map[string]int
	// pauses maps a pool to the strictest pause of the pipelines that stream from it.
	pauses map[string]time.Duration
}

// Pipeline is one kind of request: stages that run first, then one call that is relayed to the caller.
type Pipeline struct {
	Name string
	Host string
	// Prefix begins the path of each request of the pipeline; it ends in a slash.
	Prefix string
	Repeat Repeatability
	// Streams says that the answer is a series of events that are passed on as they come.
	Streams bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Aim is the time to the answer, or to a stream's first event, from which on it counts as late.
	Aim time.Duration
	// Pause is the longest time between two events of a stream that is not late.
	Pause time.Duration
	// Patience is how long callers wait for the first event of a stream before they
	// leave; 0 means until their deadlines.
	Patience time.Duration
	// Priority 0 is the most urgent.
	Priority int
	Targets  []Target
	// MaxAttempts bounds the upstreams that may run one request.
	MaxAttempts int
	Stages      []Stage
	// Public pipelines need no key.
	Public bool
	// Regions are those in which the pipeline's requests may be run and their results stored.
	Regions Regions
	// Affinity says that requests share prompt prefixes that upstreams keep in memory.
	Affinity bool
}

// Target is a pool with its share of the pipeline's requests.
type Target struct {
	Pool   string
	Weight int
}

// Stage is work in parts that must be done before the relayed call.
type Stage struct {
	Pool string
	// After lists the stages, by index, whose results this one takes in.
	After []int
	// ResultBytes is the approximate size of one part's result.
	ResultBytes int64
}

// Pool is a set of interchangeable upstreams.
type Pool struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Batching is set for pools that run parts of stages.
	Batching *Batching
	// Engine is set for pools of model engines.
	Engine *Engine
	// Warmup is set for pools whose upstreams are cold after their start.
	Warmup *Warmup
}

// Warmup describes an upstream that has just started.
type Warmup struct {
	// Time is how long it is cold.
	Time time.Duration
	// CallsPerSecond is what it bears meanwhile, from all callers.
	CallsPerSecond float64
}

// Batching describes how one upstream of a pool runs parts; all figures are the operator's.
type Batching struct {
	// Slots is the number of calls that run side by side.
	Slots int
	// BatchSize bounds the parts of one call.
	BatchSize int
	// CallTime is what each call costs, and PartTime each part besides.
	CallTime time.Duration
	PartTime time.Duration
	// Room is the memory for results in bytes.
	Room int64
	// ResultTTL is how long a result is kept unless it is freed.
	ResultTTL time.Duration
}

// FullCall is the time of a call that holds as many parts as it can.
func (b Batching) FullCall() time.Duration {
	return b.CallTime + time.Duration(b.BatchSize)*b.PartTime
}

// Engine describes one model engine.
type Engine struct {
	// Slots is the number of requests in a batch.
	Slots int
	// MemoryTokens is the size of the memory for prompts and answers.
	MemoryTokens int64
}

// Workspace is the owner of a key.
type Workspace struct {
	Name string
	// Priority goes before the pipeline's if HasPriority is set.
	Priority    int
	HasPriority bool
	// Regions are those in which the workspace's requests may be run and their results stored.
	Regions Regions
}

// Limits bounds what callers may send; zero means that the operator set no bound.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// WithIndex returns the configuration ready for Match.
func (c Config) WithIndex() Config {
	c.byHost = make(map[string]map[string]int)
	c.pauses = make(map[string]time.Duration)
	for i := range c.Pipelines {
		p := &c.Pipelines[i]
		for _, t := range p.Targets {
			if known, ok := c.pauses[t.Pool]; p.Streams && p.Pause > 0 && (!ok || p.Pause < known) {
				c.pauses[t.Pool] = p.Pause
			}
		}
		if c.byHost[p.Host] == nil {
			c.byHost[p.Host] = make(map[string]int)
		}
		if _, taken := c.byHost[p.Host][p.Prefix]; !taken {
			c.byHost[p.Host][p.Prefix] = i
		}
	}

	return c
}

// Pause returns the strictest Pause of the pipelines that stream from a pool; 0 if none has one.
func (c Config) Pause(pool string) time.Duration {
	return c.pauses[pool]
}

// Match returns the pipeline of the host with the longest prefix of the path.
func (c Config) Match(host, path string) (Pipeline, bool) {
	byPrefix := c.byHost[hostName(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if i, ok := byPrefix[path[:end+1]]; ok {
			return c.Pipelines[i], true
		}
	}

	return Pipeline{}, false
}

// hostName strips a port and the case of a Host header.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}

	return strings.ToLower(host)
}

// Target picks one of the pipeline's pools by weight; draw is a number in [0,1).
func (p Pipeline) Target(draw float64) string {
	total := 0
	for _, t := range p.Targets {
		total += t.Weight
	}
	left := draw * float64(total)
	for _, t := range p.Targets {
		left -= float64(t.Weight)
		if left < 0 {
			return t.Pool
		}
	}
	if len(p.Targets) == 0 {
		return ""
	}

	return p.Targets[len(p.Targets)-1].Pool
}

// Leaves returns the stages, by index, whose results no other stage takes in.
func (p Pipeline) Leaves() []int {
	taken := make([]bool, len(p.Stages))
	for _, s := range p.Stages {
		for _, i := range s.After {
			taken[i] = true
		}
	}
	var leaves []int
	for i := range p.Stages {
		if !taken[i] {
			leaves = append(leaves, i)
		}
	}

	return leaves
}
