package chutegate

import (
	"fmt"
	"sync/atomic"
)

// callReason is why the store was called. Calls are counted by reason because each one is paid for.
type callReason string

const (
	// callStart reads a whole table that was never read, callGap a whole table after the store has
	// dropped the history.
	callStart callReason = "start"
	callGap   callReason = "gap"
	// callRead reads changes, callRetry reads them again after a failed read.
	callRead  callReason = "read"
	callRetry callReason = "retry"
	// callInPlace reads because the source does not keep the table up to date.
	callInPlace callReason = "in place"
	// callRegister writes or removes this node's row, callCounters writes cost counters.
	callRegister callReason = "register"
	callCounters callReason = "counters"
	// callQuarantine writes crashes, judgements and limits, or removes old ones.
	callQuarantine callReason = "quarantine"
	// callRollout writes the record of a rollout.
	callRollout callReason = "rollout"
)

// storeCalls counts the calls to the store by reason.
type storeCalls map[callReason]*atomic.Int64

func newStoreCalls() storeCalls {
	calls := storeCalls{}
	for _, reason := range []callReason{callStart, callGap, callRead, callRetry, callInPlace, callRegister, callCounters, callQuarantine, callRollout} {
		calls[reason] = new(atomic.Int64)
	}

	return calls
}

func (c storeCalls) add(reason callReason) {
	c[reason].Add(1)
}

// addGauges registers the counts as metrics.
func (c storeCalls) addGauges(addGauge func(name string, read func() float64)) {
	for reason, count := range c {
		addGauge(fmt.Sprintf("store_calls_total{reason=%q}", reason), func() float64 { return float64(count.Load()) })
	}
}
