package chutememory

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// StallLimit is how long a caller may read nothing, or a partly received answer wait for memory, before its
// request may be dropped.
const StallLimit = 4 * time.Second

const (
	// shareOfRest is the multiple of the bytes left that one workspace may hold.
	shareOfRest = 2
	// smallBytes is the size up to which a waiting request passes larger ones of its workspace: an event of a
	// stream must not wait for an answer of many megabytes.
	smallBytes = 64 << 10
)

// Budget is the bytes that a node may hold for callers. It is safe for concurrent use.
type Budget struct {
	limit int64

	mu       sync.Mutex
	used     int64
	accounts map[string]*account
	holds    map[*Hold]struct{}
	// queued holds the accounts with waiters, of which there are waiting in all.
	queued  map[*account]struct{}
	waiting int
	// refusedBytes are the bytes refused since the last call of Check.
	refusedBytes int64
	refused      int64
	dropped      int64
}

// account is what one workspace holds.
type account struct {
	used  int64
	holds int
	// small and large hold those that wait, in the order in which they came.
	small, large []*waiter
}

// waiter is a request for more bytes that waits.
type waiter struct {
	hold  *Hold
	bytes int64
	since time.Time
	// result receives nil when the bytes are granted, or why they are not.
	result chan error
}

// New returns a budget of a number of bytes; nil, which bounds nothing, if that is 0 or less.
func New(limit int64) *Budget {
	if limit <= 0 {
		return nil
	}

	return &Budget{limit: limit, accounts: map[string]*account{}, holds: map[*Hold]struct{}{}, queued: map[*account]struct{}{}}
}

// Open returns what a request of a workspace holds, which is nothing yet. The caller must close it. disconnect
// ends the request and is called at most once, never after Close; it must not block or call the budget.
func (b *Budget) Open(workspace string, disconnect func()) *Hold {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()

	acc, ok := b.accounts[workspace]
	if !ok {
		acc = &account{}
		b.accounts[workspace] = acc
	}
	acc.holds++
	h := &Hold{budget: b, workspace: workspace, account: acc, disconnect: disconnect}
	b.holds[h] = struct{}{}

	return h
}

// largest returns the number of bytes that a single hold can have at most.
func (b *Budget) largest() int64 {
	return b.limit / (1 + shareOfRest) * shareOfRest
}

// fits reports whether an account may get more bytes; the caller holds mu.
func (b *Budget) fits(acc *account, bytes int64) bool {
	return acc.used+bytes <= shareOfRest*(b.limit-b.used-bytes)
}

// grantWaiting grants bytes to those that wait as long as they fit, the accounts that hold least first; the
// caller holds mu.
func (b *Budget) grantWaiting() {
	for b.waiting > 0 && b.grantNext() {
	}
}

// grantNext grants bytes to one waiter, or returns false if none fits; the caller holds mu.
func (b *Budget) grantNext() bool {
	var next *waiter
	for acc := range b.queued {
		w := b.nextOf(acc)
		if w != nil && (next == nil || cmp.Or(cmp.Compare(acc.used, next.hold.account.used), w.since.Compare(next.since)) < 0) {
			next = w
		}
	}
	if next == nil {
		return false
	}
	b.removeWaiter(next)
	b.add(next.hold, next.bytes)
	next.hold.received += next.bytes
	next.result <- nil

	return true
}

// nextOf returns the first waiter of an account whose bytes fit, a small one before a large one; nil if there
// is none.
func (b *Budget) nextOf(acc *account) *waiter {
	for _, queue := range [][]*waiter{acc.small, acc.large} {
		if len(queue) > 0 && b.fits(acc, queue[0].bytes) {
			return queue[0]
		}
	}

	return nil
}

// removeWaiter takes a waiter out of its queue; the caller holds mu.
func (b *Budget) removeWaiter(w *waiter) {
	acc := w.hold.account
	isIt := func(other *waiter) bool { return other == w }
	acc.small = slices.DeleteFunc(acc.small, isIt)
	acc.large = slices.DeleteFunc(acc.large, isIt)
	if len(acc.small)+len(acc.large) == 0 {
		delete(b.queued, acc)
	}
	b.waiting--
	w.hold.waiter = nil
}

// add books bytes of a hold; the caller holds mu.
func (b *Budget) add(h *Hold, bytes int64) {
	b.used += bytes
	h.account.used += bytes
	h.bytes += bytes
}

// stopWaiting gives a hold's waiter, if it has one, the reason why it waits no longer; the caller holds mu.
func (b *Budget) stopWaiting(h *Hold, reason error) {
	if w := h.waiter; w != nil {
		b.removeWaiter(w)
		w.result <- reason
	}
}

// Dropped is a request that was dropped because memory was short.
type Dropped struct {
	Workspace string
	// Bytes is what the request held.
	Bytes int64
}

// Shortage is what Check found.
type Shortage struct {
	// Short says that somebody waits for memory or was refused it since the last check.
	Short   bool
	Dropped []Dropped
}

// Check drops requests whose callers have read nothing for StallLimit, if memory is short. It begins with the
// workspace that holds most, and there with the request that holds most, and goes on until as many bytes are to
// be free as are asked for.
//
// If there are none, it drops one request whose answer was received in part and has waited for the rest of its
// memory that long. Otherwise such answers could wait for each other until their deadlines.
func (b *Budget) Check(now time.Time) Shortage {
	if b == nil {
		return Shortage{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()

	wanted := b.refusedBytes
	b.refusedBytes = 0
	for acc := range b.queued {
		for _, w := range slices.Concat(acc.small, acc.large) {
			wanted += w.bytes
		}
	}
	shortage := Shortage{Short: wanted > 0}
	if !shortage.Short {
		return shortage
	}
	toDrop := b.largestFirst(func(h *Hold) bool { return h.isUnread(now) })
	if len(toDrop) == 0 {
		toDrop = b.largestFirst(func(h *Hold) bool { return h.isStuck(now) })
		toDrop = toDrop[:min(1, len(toDrop))]
	}
	for _, h := range toDrop {
		if wanted <= 0 {
			break
		}
		wanted -= h.bytes
		b.drop(h)
		shortage.Dropped = append(shortage.Dropped, Dropped{Workspace: h.workspace, Bytes: h.bytes})
	}

	return shortage
}

// largestFirst returns the holds with a property, by the bytes of their workspaces and then by their own; the
// caller holds mu.
func (b *Budget) largestFirst(has func(h *Hold) bool) []*Hold {
	var holds []*Hold
	for h := range b.holds {
		if has(h) {
			holds = append(holds, h)
		}
	}
	slices.SortFunc(holds, func(x, y *Hold) int {
		return cmp.Or(cmp.Compare(y.account.used, x.account.used), cmp.Compare(x.workspace, y.workspace), cmp.Compare(y.bytes, x.bytes))
	})

	return holds
}

// drop ends a hold's request; the caller holds mu. Its bytes stay booked until they are released.
func (b *Budget) drop(h *Hold) {
	h.dropped = true
	b.dropped++
	b.stopWaiting(h, ErrDropped)
	h.disconnect()
}

// View describes a budget at one moment. All sizes are in bytes.
type View struct {
	Limit int64
	Used  int64
	// Holds is the number of requests that may hold bytes, Waiting the number of those that wait for more.
	Holds   int
	Waiting int
	// Refused and Dropped count the refusals of bytes and the dropped requests since the start.
	Refused int64
	Dropped int64
	// Largest are the workspaces that hold most.
	Largest []WorkspaceView `json:",omitempty"`
}

// WorkspaceView describes what one workspace holds.
type WorkspaceView struct {
	Workspace string
	Bytes     int64
	Waiting   int `json:",omitempty"`
}

// viewedWorkspaces bounds View.Largest.
const viewedWorkspaces = 5

// View returns a description of the budget; nil if it bounds nothing.
func (b *Budget) View() *View {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()

	view := &View{Limit: b.limit, Used: b.used, Holds: len(b.holds), Waiting: b.waiting, Refused: b.refused, Dropped: b.dropped}
	names := slices.SortedFunc(maps.Keys(b.accounts), func(x, y string) int {
		return cmp.Or(cmp.Compare(b.accounts[y].used, b.accounts[x].used), cmp.Compare(x, y))
	})
	for _, name := range names[:min(len(names), viewedWorkspaces)] {
		acc := b.accounts[name]
		view.Largest = append(view.Largest, WorkspaceView{Workspace: name, Bytes: acc.used, Waiting: len(acc.small) + len(acc.large)})
	}

	return view
}
