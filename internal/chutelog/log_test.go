package chutelog

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
)

// sink collects what is written.
type sink struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (s *sink) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.text.Write(p)
}

func (s *sink) count(part string) int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return strings.Count(s.text.String(), part)
}

func settings() Settings {
	return Settings{Rate: 10, Burst: 20, Level: zerolog.InfoLevel}
}

func TestBound(t *testing.T) {
	t.Run("at ten times the rate of one kind the rest is counted, other kinds are not touched", func(t *testing.T) {
		c := qt.New(t)
		clock := clockwork.NewFakeClock()
		var out sink
		l := New(&out, settings(), clock)
		for range 100 {
			l.Info().Msg("busy")
			clock.Advance(10 * time.Millisecond)
		}
		l.Info().Msg("rare")
		c.Assert(l.Close(), qt.IsNil)
		c.Assert(out.count(`"message":"busy"`) <= 31, qt.IsTrue)
		c.Assert(out.count(`"message":"rare"`), qt.Equals, 1)
		c.Assert(out.count(`"LeftOut":{"busy":`), qt.Equals, 1)
	})

	t.Run("a usual rate loses nothing", func(t *testing.T) {
		c := qt.New(t)
		var out sink
		l := New(&out, settings(), clockwork.NewFakeClock())
		for range 20 {
			l.Info().Msg("line")
		}
		c.Assert(l.Close(), qt.IsNil)
		c.Assert(out.count(`"message":"line"`), qt.Equals, 20)
		c.Assert(out.count("LeftOut"), qt.Equals, 0)
	})
}

func TestSlowReader(t *testing.T) {
	// The reader of the process's output stops reading. Lines are lost; whoever
	// logs goes on at once. If logging waited, this test would never end.
	c := qt.New(t)
	r, w := io.Pipe()
	l := New(w, Settings{Rate: 1e9, Burst: 1e9, Level: zerolog.InfoLevel}, clockwork.NewFakeClock())
	for range 10 * ringLines {
		l.Info().Msg("line")
	}
	go func() { _, _ = io.Copy(io.Discard, r) }()
	c.Assert(l.Close(), qt.IsNil)
	_ = w.Close()
}

func TestClosedReader(t *testing.T) {
	c := qt.New(t)
	r, w := io.Pipe()
	_ = r.Close()
	l := New(w, settings(), clockwork.NewFakeClock())
	l.Info().Msg("line")
	c.Assert(l.Close(), qt.IsNil)
}
