package chuterelay

import (
	"azurechute.example/azurechute/internal/chutefleet"
)

// use returns what the request's call demands of its upstream.
func (r request) use() chutefleet.Use {
	return chutefleet.Use{Regions: r.regions, Bound: !r.Binding.IsZero(), Version: r.Binding.Version}
}

// isBindingUnknown reports whether the caller has events whose version is not known. Nothing may follow them.
func (r request) isBindingUnknown() bool {
	return r.answerBegun && r.Binding.IsZero()
}

func unknownBindingRefusal() Refusal {
	return failedRefusal("the version that began the stream is not known")
}

// noVersionRefusal refuses a stream because no upstream of its version is left. An upstream that starts again
// takes some seconds.
func noVersionRefusal(r request) Refusal {
	return Refusal{
		Kind: RefusedNotRun, Reason: "no upstream of pool " + r.pool + " is left that runs version " + r.Binding.Version + ", which began the stream",
		RetryAfter: overloadRetryAfter, sameForAll: true,
	}
}

// endStreamsWithoutVersion ends the streams that wait to be sent on and whose version has no upstream left.
func (st *reduction) endStreamsWithoutVersion() {
	for i := st.requests.Iterator(); !i.Done(); {
		_, r, _ := i.Next()
		if r.current.id != 0 || r.Binding.IsZero() || !st.fleet.IsPoolEmpty(r.pool, r.use(), st.now) {
			continue
		}
		st.giveUp(r, st.noUpstreamRefusal(r, r.pool))
	}
}
