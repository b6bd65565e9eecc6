package chuteclaim

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"azurechute.example/azurechute/internal/chuterequest"
	"azurechute.example/azurechute/internal/chutetable"
)

// The steps by which the table's metrics and errors name the claimer's calls.
const (
	StepNameInsert = "claim insert"
	StepNameRead   = "claim read"
	StepNameSeal   = "claim seal"
	// StepNameSealLate is the background's; it can wait behind the other writes.
	StepNameSealLate = "claim seal late"
	StepNameFinish   = "claim finish"
	StepNameStatus   = "claim status"
)

// Settings bound what claims may take; zero fields take the defaults.
type Settings struct {
	// Usable is how long after its taking a claim may still be dispatched; at most half of Retention.
	Usable time.Duration
	// Retention is how long a row is kept, and so how long a RequestID is protected.
	Retention time.Duration
	// MaxResultBytes bounds a result kept in the row; of a longer one the row has the digest.
	MaxResultBytes int
	Limits         Limits
	// MaxUnsealed bounds the rows that wait to be marked given up, and SealFor how
	// long each is tried; a row that is left stays Claimed, so that others answer
	// Unknown for that request until it expires.
	MaxUnsealed int
	SealFor     time.Duration
	// FirstRetry and LongestRetry bound the growing wait between tries of one write.
	FirstRetry   time.Duration
	LongestRetry time.Duration
}

// The defaults of Settings.
const (
	DefaultUsable         = 15 * time.Minute
	DefaultRetention      = 24 * time.Hour
	DefaultMaxResultBytes = 64 << 10
	DefaultInserts        = 3
	DefaultReads          = 2
	DefaultMaxUnsealed    = 10_000
	DefaultSealFor        = time.Hour
	DefaultFirstRetry     = 50 * time.Millisecond
	DefaultLongestRetry   = 5 * time.Second
)

func (cfg Settings) withDefaults() Settings {
	cfg.Retention = orDefault(cfg.Retention, DefaultRetention)
	cfg.Usable = min(orDefault(cfg.Usable, DefaultUsable), cfg.Retention/2)
	cfg.MaxResultBytes = orDefault(cfg.MaxResultBytes, DefaultMaxResultBytes)
	cfg.Limits.Inserts = orDefault(cfg.Limits.Inserts, DefaultInserts)
	cfg.Limits.Reads = orDefault(cfg.Limits.Reads, DefaultReads)
	cfg.MaxUnsealed = orDefault(cfg.MaxUnsealed, DefaultMaxUnsealed)
	cfg.SealFor = orDefault(cfg.SealFor, DefaultSealFor)
	cfg.FirstRetry = orDefault(cfg.FirstRetry, DefaultFirstRetry)
	cfg.LongestRetry = orDefault(cfg.LongestRetry, DefaultLongestRetry)
	return cfg
}

func orDefault[T int | time.Duration](value, otherwise T) T {
	if value <= 0 {
		return otherwise
	}
	return value
}

// Seams are what the claimer does to the outside.
type Seams struct {
	// Transact and Read are those of chutetable.Client.
	Transact func(ctx context.Context, step string, tx chutetable.Transaction) (chutetable.Reply, error)
	Read     func(ctx context.Context, step string, keys ...string) ([]chutetable.Row, error)
	// AskOwner asks the process at record.OwnerAddress for its Word on
	// record.Token; nil asks nobody. An error counts as WordUnknown.
	AskOwner func(ctx context.Context, record Record) (Word, error)
	// NewToken returns a token that was never used; nil takes 128 random bits.
	NewToken func() string
}

var (
	// ErrNotTaken says that the claim is not ours and never will be.
	ErrNotTaken = errors.New("claim not taken")
	// ErrNotHeld says that this process does not or no longer hold the claim.
	ErrNotHeld = errors.New("claim not held")
	// ErrTooLate says that the claim may no longer be dispatched.
	ErrTooLate = errors.New("claim taken too long ago")
	// ErrDispatched says that the claim can't be given up, for something of it was handed over.
	ErrDispatched = errors.New("claim was dispatched")
	// ErrFinishedOtherwise says that the row already has another outcome.
	ErrFinishedOtherwise = errors.New("claim finished otherwise")
)

// Claimer takes, finishes and gives up claims; it is safe for concurrent use.
type Claimer struct {
	cfg   Settings
	seams Seams
	clock clockwork.Clock
	log   zerolog.Logger

	mu sync.Mutex
	// live has the claims that may be dispatched, by token, with the number of
	// calls handed over. A token that is not in it is dead in this process.
	live map[string]int
	// unsealed are the dead claims whose rows may be or become Claimed, in the
	// order of their next try.
	unsealed       []unsealed
	unsealedTokens map[string]bool
	closing        bool

	wake chan struct{}
	stop context.CancelFunc
	done chan struct{}
}

// New returns a Claimer and starts its background, which Close ends.
func New(cfg Settings, seams Seams, clock clockwork.Clock, log zerolog.Logger) *Claimer {
	if seams.NewToken == nil {
		seams.NewToken = rand.Text
	}
	ctx, stop := context.WithCancel(context.Background())
	c := &Claimer{
		cfg: cfg.withDefaults(), seams: seams, clock: clock, log: log,
		live: map[string]int{}, unsealedTokens: map[string]bool{},
		wake: make(chan struct{}, 1), stop: stop, done: make(chan struct{}),
	}
	go c.sealLate(ctx)
	return c
}

// Claim is a claim that this process took; UsableUntil is when it may last be dispatched.
type Claim struct {
	Key          chuterequest.Key
	Token        string
	Owner        string
	OwnerAddress string
	Version      uint64
	TakenAt      time.Time
	UsableUntil  time.Time
}

// Verdict is what became of an attempt to claim.
type Verdict string

// The verdicts.
const (
	// VerdictTaken: the claim is ours until Finish or GiveUp, one of which must follow.
	VerdictTaken Verdict = "Taken"
	// VerdictHeldByOther: another has run it or may be running it; it must not be called not run.
	VerdictHeldByOther Verdict = "HeldByOther"
	// VerdictNotTaken: nothing of it runs under this claim, now or later; NotRun may be said.
	VerdictNotTaken Verdict = "NotTaken"
)

// Taking is the end of an attempt to claim.
type Taking struct {
	Verdict Verdict
	// Claim is set when Taken.
	Claim Claim
	// Holder is the row's record when HeldByOther, zero if it can't be decoded.
	Holder Record
	// Unclaimed goes with NotTaken: the table showed during the attempt that nobody
	// else had the request. Without it an earlier submission of the same RequestID
	// may be running elsewhere, of which this process can't know.
	Unclaimed bool
	// Err is set when NotTaken; it is ErrNotTaken and names the step and the peer.
	Err error
}

// Take claims the request for the owner (its incarnation and peer address)
// before anything of it is dispatched. It is bounded by ctx and Settings.Limits.
func (c *Claimer) Take(ctx context.Context, key chuterequest.Key, owner, ownerAddress string) Taking {
	claim := Claim{Key: key, Token: c.seams.NewToken(), Owner: owner, OwnerAddress: ownerAddress, TakenAt: c.clock.Now()}
	claim.UsableUntil = claim.TakenAt.Add(c.cfg.Usable)
	m, step := NewMachine(claim.Token, c.cfg.Limits)
	var lastErr error
	for {
		switch step.Kind {
		case StepTaken:
			return c.taken(claim, step)
		case StepHeld:
			metrics.Add("HeldByOther", 1)
			return Taking{Verdict: VerdictHeldByOther, Holder: step.Holder}
		case StepNotTaken:
			return c.notTaken(claim, m, step, lastErr)
		}
		event, err := c.execute(ctx, claim, step, StepNameSeal)
		if err != nil {
			lastErr = err
		}
		m, step = m.Next(event)
	}
}

func (c *Claimer) taken(claim Claim, step Step) Taking {
	metrics.Add("Taken", 1)
	claim.Version = step.Base
	c.mu.Lock()
	defer c.mu.Unlock()
	c.live[claim.Token] = 0
	return Taking{Verdict: VerdictTaken, Claim: claim}
}

func (c *Claimer) notTaken(claim Claim, m Machine, step Step, cause error) Taking {
	metrics.Add("NotTaken", 1)
	if step.Unsealed {
		c.addUnsealed(claim, m)
	}
	err := c.errorAt("take", claim.Key).Wrap(errors.Join(ErrNotTaken, cause))
	return Taking{Verdict: VerdictNotTaken, Unclaimed: step.Unclaimed, Err: err}
}
