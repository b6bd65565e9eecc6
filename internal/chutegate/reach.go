package chutegate

import (
	"sync"
	"time"
)

// storeReach is what the reads of all tables show of whether the store answers this node.
type storeReach struct {
	mu sync.Mutex
	// answeredSentAt is when the latest read that was answered was sent, failedSentAt the latest one that
	// failed, and failedEndedAt when that failed; zero if there is none.
	answeredSentAt time.Time
	failedSentAt   time.Time
	failedEndedAt  time.Time
	// returned is closed and replaced when the store answers after a failed read.
	returned chan struct{}
}

// returnedSignal returns a channel that is closed when the store answers after a failed read.
func (r *storeReach) returnedSignal() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.returned == nil {
		r.returned = make(chan struct{})
	}

	return r.returned
}

// record records the end of a read that was sent at a time.
func (r *storeReach) record(sentAt, endedAt time.Time, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	switch {
	case answered && sentAt.After(r.answeredSentAt):
		if r.returned != nil && r.failedSentAt.After(r.answeredSentAt) && sentAt.After(r.failedSentAt) {
			close(r.returned)
			r.returned = nil
		}
		r.answeredSentAt = sentAt
	case !answered && sentAt.After(r.failedSentAt):
		r.failedSentAt, r.failedEndedAt = sentAt, endedAt
	}
}

// failedAt returns when the last read failed, and false if the store has answered one that was sent later:
// a poll that was lost fails seconds after it was sent.
func (r *storeReach) failedAt() (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.failedEndedAt, r.failedSentAt.After(r.answeredSentAt)
}
