package chuteshare

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
)

// Transit bounds how long a message was on its way, from when its sender filled it in until its
// receiver read it.
type Transit struct {
	// Min and Max are the shortest and the longest time that the message can have taken.
	Min, Max time.Duration
}

// Uncertainty returns how far the bounds are apart.
func (t Transit) Uncertainty() time.Duration {
	return t.Max - t.Min
}

// transitMeter bounds the transit times of the messages of one stream.
//
// Clocks of two nodes have no common origin, so only times since the beginning of the stream are compared. The
// peer accepted the stream after it was opened here, which bounds a transit from above; the message with the
// least such bound took no less than nothing, which bounds all others from below.
type transitMeter struct {
	openedAt time.Time
	fastest  time.Duration
	observed bool
}

func newTransitMeter(openedAt time.Time) *transitMeter {
	return &transitMeter{openedAt: openedAt}
}

// observe returns the bounds for a message that carries sentMs and is read now. They are zero if
// the message carries no time.
func (m *transitMeter) observe(sentMs int64, now time.Time) Transit {
	if sentMs <= 0 {
		return Transit{}
	}
	sentAfter := time.Duration(sentMs-1) * time.Millisecond
	longest := now.Sub(m.openedAt) - sentAfter
	if !m.observed || longest < m.fastest {
		m.fastest, m.observed = longest, true
	}

	return Transit{Min: longest - m.fastest, Max: longest}
}

// awaitReady waits until a connection is established or has failed, so that the time that this
// takes does not count as the transit time of the first message.
func awaitReady(ctx context.Context, conn *grpc.ClientConn) {
	for {
		state := conn.GetState()
		switch state {
		case connectivity.Ready, connectivity.TransientFailure, connectivity.Shutdown:
			return
		case connectivity.Idle:
			conn.Connect()
		case connectivity.Connecting:
		}
		if !conn.WaitForStateChange(ctx, state) {
			return
		}
	}
}
