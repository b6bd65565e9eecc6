package chutestandin

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"azurechute.example/azurechute/pkg/chuteconfig"
)

// FaultKind names one way in which a stand-in misbehaves.
type FaultKind string

// The kinds of fault; those that end a call without an answer say whether it took effect.
const (
	// FaultDown closes the connection before anything takes effect.
	FaultDown FaultKind = "Down"
	// FaultHang takes the call and neither runs nor answers it.
	FaultHang FaultKind = "Hang"
	// FaultSlow waits Delay before the call takes effect and multiplies its own time by Factor.
	FaultSlow FaultKind = "Slow"
	// FaultRefuse refuses explicitly, with Delay as the time to come back.
	FaultRefuse FaultKind = "Refuse"
	// FaultDropAnswer closes the connection after the call took effect.
	FaultDropAnswer FaultKind = "DropAnswer"
	// FaultFail answers 500 after the call took effect.
	FaultFail FaultKind = "Fail"
	// FaultLate holds the answer, or a stream's last frame, for Delay after the call took effect.
	FaultLate FaultKind = "Late"
	// FaultCross swaps the answers of two calls in progress, streams from Offset on; Delay bounds the wait for the second.
	FaultCross FaultKind = "Cross"
	// FaultStaleAttempt answers with the attempt id of an earlier call.
	FaultStaleAttempt FaultKind = "StaleAttempt"
	// FaultTruncate ends a stream cleanly at Offset without its last frame, and any other answer half way.
	FaultTruncate FaultKind = "Truncate"
	// FaultBreak closes a stream's connection at Offset.
	FaultBreak FaultKind = "Break"
	// FaultStall sends nothing more of a stream from Offset on and keeps it open.
	FaultStall FaultKind = "Stall"
	// FaultDuplicate sends the frame at Offset twice.
	FaultDuplicate FaultKind = "Duplicate"
	// FaultOverlap sends the frames before Offset again.
	FaultOverlap FaultKind = "Overlap"
	// FaultGap leaves out the frame at Offset.
	FaultGap FaultKind = "Gap"
	// FaultSilent makes the connections that are open when it is set silent for good; new ones work.
	FaultSilent FaultKind = "Silent"
	// FaultLagLoad ages load reports by Delay.
	FaultLagLoad FaultKind = "LagLoad"
	// FaultLagEvents holds cache events back for Delay.
	FaultLagEvents FaultKind = "LagEvents"
	// FaultDropEvents loses cache events, which leaves gaps in their numbers.
	FaultDropEvents FaultKind = "DropEvents"
	// FaultIgnoreFencing accepts orders with old fencing numbers.
	FaultIgnoreFencing FaultKind = "IgnoreFencing"
)

var faultKinds = []FaultKind{
	FaultDown, FaultHang, FaultSlow, FaultRefuse, FaultDropAnswer, FaultFail, FaultLate, FaultCross,
	FaultStaleAttempt, FaultTruncate, FaultBreak, FaultStall, FaultDuplicate, FaultOverlap, FaultGap,
	FaultSilent, FaultLagLoad, FaultLagEvents, FaultDropEvents, FaultIgnoreFencing,
}

// Fault is one rule of misbehaviour; empty limits match every call.
type Fault struct {
	Kind FaultKind
	// Path limits the rule to request paths with this prefix; without it a rule meets the stand-in's main calls,
	// and a Down without Count and Stage meets every path.
	Path string `json:",omitempty"`
	// Stage limits the rule to one stage; at the table, to keys with this first part.
	Stage string `json:",omitempty"`
	// Count is how many calls the rule still meets; 0 means no limit.
	Count int `json:",omitempty"`
	// Share is the share of calls met, drawn from the seed; 0 means all.
	Share  float64              `json:",omitempty"`
	Delay  chuteconfig.Duration `json:",omitempty"`
	Factor float64              `json:",omitempty"`
	// Offset is the token at which a stream fault strikes; past the stream's end means its last token.
	Offset int `json:",omitempty"`
}

// Faults is the body of /faults; a PUT replaces all rules.
type Faults struct {
	Seed  uint64
	Rules []Fault
}

// point is a place in a call where a fault may strike.
type point struct {
	path  string
	stage string
	// main marks the calls that rules without a path are meant for.
	main bool
}

type ruleState struct {
	Fault
	spent bool
}

// injector decides which faults strike; all stand-ins embed one.
type injector struct {
	clock clockwork.Clock

	mu      sync.Mutex
	seed    uint64
	random  *rand.Rand
	rules   []ruleState
	crosses map[string]*crossing
	conns   *connSet
	// lastAttempt is an attempt id already answered, for FaultStaleAttempt.
	lastAttempt string
}

func newInjector(clock clockwork.Clock) *injector {
	return &injector{clock: clock, random: rand.New(rand.NewPCG(0, 0)), crosses: map[string]*crossing{}} //nolint:gosec // faults and delays are drawn from a seed
}

// SetFaults replaces the stand-in's faults.
func (x *injector) SetFaults(faults Faults) error {
	return x.setFaults(faults, "")
}

func (x *injector) setFaults(faults Faults, ownConn string) error {
	rules := make([]ruleState, 0, len(faults.Rules))
	for _, rule := range faults.Rules {
		if err := rule.check(); err != nil {
			return err
		}

		rules = append(rules, ruleState{Fault: rule})
	}

	x.mu.Lock()
	x.seed = faults.Seed
	x.random = rand.New(rand.NewPCG(faults.Seed, 0)) //nolint:gosec // faults and delays are drawn from a seed
	x.rules = rules
	conns := x.conns
	x.mu.Unlock()
	silent := slices.ContainsFunc(faults.Rules, func(rule Fault) bool { return rule.Kind == FaultSilent })
	if silent && conns == nil {
		return fmt.Errorf("%s needs a listener wrapped by WrapListener", FaultSilent)
	}

	if silent {
		conns.silence(ownConn)
	}

	return nil
}

func (f Fault) check() error {
	if !slices.Contains(faultKinds, f.Kind) {
		return fmt.Errorf("unknown Kind %q", f.Kind)
	}

	if f.Share < 0 || f.Share > 1 || f.Count < 0 || f.Delay < 0 || f.Factor < 0 || f.Offset < 0 {
		return fmt.Errorf("%s: Share must lie in 0..1 and no number may be negative", f.Kind)
	}

	return nil
}

// Faults returns the rules as they stand now, with their remaining counts.
func (x *injector) Faults() Faults {
	x.mu.Lock()
	defer x.mu.Unlock()
	faults := Faults{Seed: x.seed, Rules: []Fault{}}
	for _, rule := range x.rules {
		if !rule.spent {
			faults.Rules = append(faults.Rules, rule.Fault)
		}
	}

	return faults
}

// take returns the first rule of the kind that strikes at the point, and counts it.
func (x *injector) take(kind FaultKind, at point) (Fault, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for i := range x.rules {
		rule := &x.rules[i]
		if rule.Kind != kind || rule.spent || !rule.meets(at) {
			continue
		}

		if rule.Share > 0 && x.random.Float64() >= rule.Share {
			continue
		}

		struck := rule.Fault
		rule.spent = rule.Count == 1
		rule.Count = max(rule.Count-1, 0)

		return struck, true
	}

	return Fault{}, false
}

func (f Fault) meets(at point) bool {
	if f.Stage != "" && f.Stage != at.stage {
		return false
	}

	if f.Path != "" {
		return strings.HasPrefix(at.path, f.Path)
	}

	return at.main || f.Kind == FaultDown && f.Count == 0 && f.Stage == ""
}

func (f Fault) delay() time.Duration {
	return f.Delay.Std()
}

func (x *injector) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var faults Faults
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&faults); err != nil {
			badRequest("", err).write(w)
			return
		}

		if err := x.setFaults(faults, r.RemoteAddr); err != nil {
			badRequest("Rules", err).write(w)
			return
		}
	}

	reply{status: http.StatusOK, body: x.Faults()}.write(w)
}
