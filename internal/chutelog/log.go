package chutelog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"golang.org/x/time/rate"
)

const (
	// ringLines is how many lines may wait for a slow reader; more are dropped and counted.
	ringLines = 1024
	// DefaultRate is the lines of one kind a second: a node takes some 20 requests a
	// second at the size designed for (docs/CAPACITY.md), three times that in a burst.
	DefaultRate = 60
	// DefaultBurst is how many lines of one kind may come at once.
	DefaultBurst = 240
	// reportEvery is how often the counts of lines left out are written.
	reportEvery = 5 * time.Second
)

// Settings bounds a log.
type Settings struct {
	// Rate is the number of lines a second of one kind, Burst how many may come at once.
	Rate  rate.Limit
	Burst int
	Level zerolog.Level
}

// Log is a bounded log.
type Log struct {
	zerolog.Logger

	settings Settings
	clock    clockwork.Clock
	ring     diode.Writer
	dropped  atomic.Int64

	mu       sync.Mutex
	limiters map[string]*rate.Limiter
	left     map[string]int
	reported time.Time
}

// New returns a log that writes to w; Close writes what still waits.
func New(w io.Writer, s Settings, clock clockwork.Clock) *Log {
	l := &Log{
		settings: s, clock: clock, limiters: map[string]*rate.Limiter{}, left: map[string]int{}, reported: clock.Now(),
	}
	// A reader that stops reading would otherwise stop every goroutine that logs,
	// and with them the requests: lines are dropped instead.
	l.ring = diode.NewWriter(w, ringLines, 0, func(missed int) { l.dropped.Add(int64(missed)) })
	l.Logger = zerolog.New(l.ring).Level(s.Level).Hook(zerolog.HookFunc(l.bound)).With().Timestamp().Logger()

	return l
}

// Close writes what still waits and ends the log.
func (l *Log) Close() error {
	l.report(l.clock.Now())

	return l.ring.Close()
}

// bound leaves a line out if there were too many of its kind.
func (l *Log) bound(e *zerolog.Event, _ zerolog.Level, kind string) {
	now := l.clock.Now()
	if !l.allow(kind, now) {
		e.Discard()
	}
	if l.due(now) {
		l.report(now)
	}
}

func (l *Log) allow(kind string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	limiter, ok := l.limiters[kind]
	if !ok {
		limiter = rate.NewLimiter(l.settings.Rate, l.settings.Burst)
		l.limiters[kind] = limiter
	}
	if limiter.AllowN(now, 1) {
		return true
	}
	l.left[kind]++

	return false
}

func (l *Log) due(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return now.Sub(l.reported) >= reportEvery && (len(l.left) > 0 || l.dropped.Load() > 0)
}

// report writes how many lines were left out since the last report.
func (l *Log) report(now time.Time) {
	l.mu.Lock()
	left := l.left
	l.left = map[string]int{}
	l.reported = now
	l.mu.Unlock()

	dropped := l.dropped.Swap(0)
	if len(left) == 0 && dropped == 0 {
		return
	}
	plain := zerolog.New(l.ring).With().Timestamp().Logger()
	plain.Warn().Interface("LeftOut", left).Int64("Dropped", dropped).Msg("log lines left out")
}
