package chutegate

import (
	"fmt"
	"sync/atomic"
)

// callReason is why the store was called; each call is paid for.
type callReason string

const (
	// callStart reads a whole table that was never read, callGap one whose history the
	// store has forgotten.
	callStart callReason = "start"
	callGap   callReason = "gap"
	// callRead reads changes, callRetry does so after a read that failed.
	callRead  callReason = "read"
	callRetry callReason = "retry"
	// callInPlace reads because the node that is followed has lost the store.
	callInPlace callReason = "in place"
	// callRegister writes or removes the own row, callCounters writes cost counters.
	callRegister callReason = "register"
	callCounters callReason = "counters"
	// callQuarantine writes crashes and judgements, or removes old ones.
	callQuarantine callReason = "quarantine"
)

// storeCalls counts calls of the store by reason.
type storeCalls map[callReason]*atomic.Int64

func newStoreCalls() storeCalls {
	calls := storeCalls{}
	for _, reason := range []callReason{callStart, callGap, callRead, callRetry, callInPlace, callRegister, callCounters, callQuarantine} {
		calls[reason] = new(atomic.Int64)
	}

	return calls
}

func (c storeCalls) add(reason callReason) {
	c[reason].Add(1)
}

// addGauges adds the counts to the metrics.
func (c storeCalls) addGauges(addGauge func(name string, read func() float64)) {
	for reason, count := range c {
		addGauge(fmt.Sprintf("store_calls_total{reason=%q}", reason), func() float64 { return float64(count.Load()) })
	}
}
