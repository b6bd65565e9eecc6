package chutetable

import (
	"context"
	"errors"
	"sync"

	"github.com/samber/oops"
)

// DefaultMaxBatch bounds the transactions that a Batcher sends as one.
const DefaultMaxBatch = 32

// Batcher sends transactions that come while one is under way together, as one.
//
// A transaction that comes while none is under way goes out at once, so at low load
// nothing changes.
//
//	a ──► sent alone          b, c, d come meanwhile ──► sent as one
//
// A batch takes effect as a whole or not at all. When a condition fails, the
// transactions whose rows the table shows are sent again alone and the others
// as a batch without them, which is safe since a refused batch has certainly
// written nothing. An unknown outcome is unknown for each.
type Batcher struct {
	// Transact sends one transaction; Client.Transact.
	Transact func(ctx context.Context, step string, tx Transaction) (Reply, error)
	// MaxBatch bounds a batch; zero takes DefaultMaxBatch.
	MaxBatch int

	mu      sync.Mutex
	busy    bool
	waiting []*batched
}

// batched is one transaction on its way through a Batcher.
type batched struct {
	step string
	tx   Transaction
	// done is closed when reply and err are set.
	done  chan struct{}
	reply Reply
	err   error
	sent  bool
}

// Do sends the transaction, alone or in a batch, with the same promises as Client.Transact.
func (b *Batcher) Do(ctx context.Context, step string, tx Transaction) (Reply, error) {
	own := &batched{step: step, tx: tx, done: make(chan struct{})}
	b.enter(ctx, own)
	select {
	case <-own.done:
		return own.reply, own.err
	case <-ctx.Done():
	}

	return b.leave(ctx, own)
}

// enter queues the transaction and starts the sending if nobody is at it.
func (b *Batcher) enter(ctx context.Context, own *batched) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = append(b.waiting, own)
	if !b.busy {
		b.busy = true
		go b.drain(context.WithoutCancel(ctx))
	}
}

// leave says what is known of a transaction whose caller stops waiting.
func (b *Batcher) leave(ctx context.Context, own *batched) (Reply, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-own.done:
		return own.reply, own.err
	default:
	}
	cause := ErrOutcomeUnknown
	if !own.sent {
		cause = ErrNotWritten
		for i, other := range b.waiting {
			if other == own {
				b.waiting = append(b.waiting[:i:i], b.waiting[i+1:]...)

				break
			}
		}
	}

	return Reply{}, oops.In("table").With("step", own.step).Wrap(errors.Join(cause, ctx.Err()))
}

// drain sends what waits until nothing does.
func (b *Batcher) drain(ctx context.Context) {
	for {
		batch := b.next()
		if len(batch) == 0 {
			return
		}
		b.send(ctx, batch)
	}
}

// next takes the transactions of the next batch; keys in it are all different.
func (b *Batcher) next() []*batched {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.MaxBatch
	if limit == 0 {
		limit = DefaultMaxBatch
	}
	keys := map[string]bool{}
	var batch, rest []*batched
	for _, t := range b.waiting {
		if len(batch) == limit || touches(t.tx, keys) {
			rest = append(rest, t)

			continue
		}
		note(t.tx, keys)
		t.sent = true
		batch = append(batch, t)
	}
	b.waiting = rest
	b.busy = len(batch) > 0

	return batch
}

// send sends a batch, and what a failed condition kept back once more.
func (b *Batcher) send(ctx context.Context, batch []*batched) {
	if len(batch) == 1 {
		b.alone(ctx, batch[0])

		return
	}
	var whole Transaction
	for _, t := range batch {
		whole.Conditions = append(whole.Conditions, t.tx.Conditions...)
		whole.Writes = append(whole.Writes, t.tx.Writes...)
	}
	reply, err := b.Transact(ctx, batch[0].step, whole)
	if err == nil && !reply.Committed {
		b.sendApart(ctx, batch, reply)

		return
	}
	for _, t := range batch {
		b.end(t, reply.of(t.tx), err)
	}
}

// sendApart sends those alone whose condition failed, and the rest of a refused batch without them.
func (b *Batcher) sendApart(ctx context.Context, batch []*batched, refusal Reply) {
	var rest []*batched
	shown := false
	for _, t := range batch {
		if len(refusal.of(t.tx).Rows) == 0 {
			rest = append(rest, t)

			continue
		}
		shown = true
		b.alone(ctx, t)
	}
	if shown && len(rest) > 0 {
		b.send(ctx, rest)

		return
	}
	// A condition on a row that is gone shows nothing: then each goes alone.
	for _, t := range rest {
		b.alone(ctx, t)
	}
}

// alone sends one transaction by itself.
func (b *Batcher) alone(ctx context.Context, t *batched) {
	reply, err := b.Transact(ctx, t.step, t.tx)
	b.end(t, reply, err)
}

// end hands a transaction its outcome.
func (b *Batcher) end(t *batched, reply Reply, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t.reply, t.err = reply, err
	close(t.done)
}

// of returns the part of a batch's reply that belongs to one of its transactions.
func (r Reply) of(tx Transaction) Reply {
	part := Reply{Committed: r.Committed}
	for _, write := range tx.Writes {
		if row, ok := r.Row(write.Key); ok {
			part.Rows = append(part.Rows, row)
		}
	}

	return part
}

// touches says whether the transaction names one of the keys.
func touches(tx Transaction, keys map[string]bool) bool {
	for _, c := range tx.Conditions {
		if keys[c.Key] {
			return true
		}
	}
	for _, w := range tx.Writes {
		if keys[w.Key] {
			return true
		}
	}

	return false
}

// note adds the transaction's keys.
func note(tx Transaction, keys map[string]bool) {
	for _, c := range tx.Conditions {
		keys[c.Key] = true
	}
	for _, w := range tx.Writes {
		keys[w.Key] = true
	}
}
