package chutememory

import (
	"context"
	"errors"
	"time"
)

var (
	// ErrTooLarge reports more bytes than one request can ever hold.
	ErrTooLarge = errors.New("more bytes than this node holds for one request")
	// ErrDropped reports that the request was dropped because memory was short.
	ErrDropped = errors.New("the request was dropped because memory is short")
	// ErrClosed reports that the request has ended.
	ErrClosed = errors.New("the request has ended")
)

// Hold is what a node holds for one request. It is safe for concurrent use.
type Hold struct {
	budget     *Budget
	workspace  string
	account    *account
	disconnect func()

	// The fields below are guarded by budget.mu.

	// bytes is all that is held, received the part of it that belongs to answers.
	bytes    int64
	received int64
	// unread are the bytes that the caller was offered and has not read, unreadSince when it last read or was
	// first offered some of them.
	unread      int64
	unreadSince time.Time
	// waiter is the request for more bytes that waits; nil if there is none.
	waiter  *waiter
	dropped bool
	closed  bool
}

// TryAcquire books bytes if that is possible at once, and reports whether it was.
func (h *Hold) TryAcquire(bytes int64) bool {
	if h == nil {
		return true
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()

	if h.closed || h.dropped || !b.fits(h.account, bytes) {
		b.refused++
		b.refusedBytes += bytes

		return false
	}
	b.add(h, bytes)

	return true
}

// Acquire books bytes of an answer and waits until that is possible. Its error is ErrTooLarge, ErrDropped,
// ErrClosed or that of ctx; nothing is booked then. Only one call at a time may wait.
func (h *Hold) Acquire(ctx context.Context, bytes int64, now time.Time) error {
	if h == nil {
		return nil
	}
	w, err := h.acquireOrWait(bytes, now)
	if w == nil {
		return err
	}
	select {
	case err := <-w.result:
		return err
	case <-ctx.Done():
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.waiter == w {
		b.stopWaiting(h, ctx.Err())
	} else if err := <-w.result; err == nil {
		// The bytes were granted just before.
		h.release(bytes)
	}

	return ctx.Err()
}

// acquireOrWait books bytes of an answer, or returns the waiter that gets them later.
func (h *Hold) acquireOrWait(bytes int64, now time.Time) (*waiter, error) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()

	switch {
	case h.closed:
		return nil, ErrClosed
	case h.dropped:
		return nil, ErrDropped
	case h.bytes-h.unread+bytes > b.largest():
		// What the caller has to read yet is freed while this waits; the rest is not.
		b.refused++

		return nil, ErrTooLarge
	}
	queue := &h.account.large
	if bytes <= smallBytes {
		queue = &h.account.small
	}
	if len(*queue) == 0 && b.fits(h.account, bytes) {
		b.add(h, bytes)
		h.received += bytes

		return nil, nil //nolint:nilnil // no waiter is needed
	}
	h.waiter = &waiter{hold: h, bytes: bytes, since: now, result: make(chan error, 1)}
	*queue = append(*queue, h.waiter)
	b.queued[h.account] = struct{}{}
	b.waiting++

	return h.waiter, nil
}

// Release frees bytes of an answer.
func (h *Hold) Release(bytes int64) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()

	h.release(bytes)
}

// release is Release; the caller holds mu. After Close nothing is left to free.
func (h *Hold) release(bytes int64) {
	if h.closed {
		return
	}
	h.received -= bytes
	h.budget.add(h, -bytes)
	h.budget.grantWaiting()
}

// Offer records that the caller can read bytes from now on.
func (h *Hold) Offer(bytes int64, now time.Time) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()

	if h.unread == 0 {
		h.unreadSince = now
	}
	h.unread += bytes
}

// Read records that the caller has read bytes that it was offered.
func (h *Hold) Read(bytes int64, now time.Time) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()

	h.unread = max(0, h.unread-bytes)
	h.unreadSince = now
}

// Close frees all bytes; further calls do nothing.
func (h *Hold) Close() {
	if h == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()

	if h.closed {
		return
	}
	h.closed = true
	b.stopWaiting(h, ErrClosed)
	b.add(h, -h.bytes)
	delete(b.holds, h)
	if h.account.holds--; h.account.holds == 0 {
		delete(b.accounts, h.workspace)
	}
	b.grantWaiting()
}

// isUnread reports whether the caller has read nothing for StallLimit of what it was offered; the caller holds
// budget.mu.
//
// A request of which the caller has nothing to read waits for its upstream, however long that takes.
func (h *Hold) isUnread(now time.Time) bool {
	return !h.dropped && h.unread > 0 && now.Sub(h.unreadSince) >= StallLimit
}

// isStuck reports whether a part of an answer has waited for the rest of its memory for StallLimit; the caller
// holds budget.mu.
func (h *Hold) isStuck(now time.Time) bool {
	return !h.dropped && h.waiter != nil && now.Sub(h.waiter.since) >= StallLimit && h.received > h.unread
}
