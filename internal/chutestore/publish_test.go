package chutestore

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutetable"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

const weightPath = "kura.Teams.advice.Weight"

func TestPublishAndReadBack(t *testing.T) {
	c := qt.New(t)
	s := newFake().store("a")
	head, err := s.ReadHead(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(head, qt.Equals, Head{})
	expectPublished(c, s, 1, 0, "ann")
	expectPublished(c, s, 2, 1, "ben")
	expectInForce(c, s, 2, 2)
	first, err := s.ReadVersion(context.Background(), 1)
	c.Assert(err, qt.IsNil)
	c.Assert(first.Operator, qt.Equals, "ann")
	_, err = s.ReadVersion(context.Background(), 3)
	c.Assert(err, qt.ErrorIs, ErrNoVersion)
}

// Two operators look at version 1 and publish. The second has read the head
// before the first's transaction took effect, so only the condition on the
// head's row stops it. It must be told who was first and what they changed,
// because publishing anyway would take that change back unseen.
func TestPublishRace(t *testing.T) {
	t.Run("seen at the head", func(t *testing.T) {
		c := qt.New(t)
		s := newFake().store("a")
		expectPublished(c, s, 1, 0, "ann")
		expectPublished(c, s, 2, 1, "ben")
		expectConflict(c, s, 3, 1, "ben", weightPath)
		expectInForce(c, s, 2, 2)
	})
	t.Run("seen at the write", func(t *testing.T) {
		c := qt.New(t)
		f := newFake()
		expectPublished(c, f.store("a"), 1, 0, "ann")
		f.before = func(int) error {
			f.before = nil
			expectPublished(c, f.store("b"), 2, 1, "ben")

			return nil
		}
		expectConflict(c, f.store("c"), 3, 1, "ben", weightPath)
		expectInForce(c, f.store("reader"), 2, 2)
	})
	t.Run("same content", func(t *testing.T) {
		c := qt.New(t)
		f := newFake()
		expectPublished(c, f.store("a"), 1, 0, "ann")
		f.before = func(int) error {
			f.before = nil
			expectPublished(c, f.store("b"), 2, 1, "ben")

			return nil
		}
		expectConflict(c, f.store("c"), 2, 1, "ben", weightPath)
	})
}

// The table applies the transaction and the answer is lost. The operator must
// not be told that another was first (it was this very call), nor that nothing
// happened; the transaction is sent again and refused by its own effect.
func TestPublishSettlesLostAnswers(t *testing.T) {
	t.Run("written", func(t *testing.T) {
		c := qt.New(t)
		f := newFake()
		f.lose = func(n int) bool { return n == 1 }
		expectPublished(c, f.store("a"), 1, 0, "ann")
		expectInForce(c, f.store("reader"), 1, 1)
		c.Assert(f.version, qt.Equals, uint64(2), qt.Commentf("the head and its history row are written once"))
	})
	t.Run("not written", func(t *testing.T) {
		c := qt.New(t)
		f := newFake()
		f.before = func(n int) error {
			if n == 1 {
				return chutetable.ErrOutcomeUnknown
			}

			return nil
		}
		expectPublished(c, f.store("a"), 1, 0, "ann")
	})
	t.Run("written and followed by another version", func(t *testing.T) {
		c := qt.New(t)
		f := newFake()
		f.lose = func(n int) bool { return n == 1 }
		f.before = func(n int) error {
			if n == 2 {
				f.before = nil
				expectPublished(c, f.store("b"), 2, 1, "ben")
			}

			return nil
		}
		expectPublished(c, f.store("a"), 1, 0, "ann")
		expectInForce(c, f.store("reader"), 2, 2)
	})
	t.Run("another was first", func(t *testing.T) {
		c := qt.New(t)
		f := newFake()
		f.before = func(n int) error {
			if n == 1 {
				return chutetable.ErrOutcomeUnknown
			}
			f.before = nil
			expectPublished(c, f.store("b"), 2, 0, "ben")

			return nil
		}
		expectConflict(c, f.store("a"), 1, 0, "ben", "kura")
	})
}

// The platform stays down until the operator's patience ends. What they are
// told must fit what the platform may have taken: nothing for certain, or
// possibly the write whose answer was lost.
func TestPublishWhenThePlatformStaysDown(t *testing.T) {
	expectError := func(name string, first error, want error) {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			f := newFake()
			f.before = func(n int) error {
				if n == 1 {
					return first
				}
				cancel()

				return chutetable.ErrNotWritten
			}
			_, err := f.store("a").Publish(ctx, setOf(1), 0, "ann")
			c.Assert(err, qt.ErrorIs, want)
		})
	}
	expectError("refused", chutetable.ErrNotWritten, ErrNotPublished)
	expectError("lost", chutetable.ErrOutcomeUnknown, ErrOutcomeUnknown)

	t.Run("objects", func(t *testing.T) {
		c := qt.New(t)
		f := newFake()
		f.objectsDown = true
		_, err := f.store("a").Publish(context.Background(), setOf(1), 0, "ann")
		c.Assert(err, qt.ErrorIs, ErrNotPublished)
		c.Assert(f.sent, qt.Equals, 0)
	})
}

func TestPublishRefusesWhatNodesCouldNotTake(t *testing.T) {
	c := qt.New(t)
	f := newFake()
	_, err := f.store("a").Publish(context.Background(), setOf(0), 0, "ann")
	c.Assert(err, qt.ErrorIs, ErrNotPublished)
	c.Assert(err, qt.ErrorMatches, `(?s).*Sites\.kura\.Teams\.advice\.Weight.*`)
	_, err = f.store("a").Publish(context.Background(), chuteconfig.Set{}, 0, "ann")
	c.Assert(err, qt.ErrorIs, ErrNotPublished)
	c.Assert(f.objects, qt.HasLen, 0)
}

// The head row is lost (an operator restored an old table, say), so the count
// of versions would start anew, and nodes, which only move up, would ignore
// every later version without a word. Publishing is refused instead.
func TestPublishRefusesToCountAnew(t *testing.T) {
	c := qt.New(t)
	f := newFake()
	expectPublished(c, f.store("a"), 1, 0, "ann")
	delete(f.rows, HeadKey)
	_, err := f.store("b").Publish(context.Background(), setOf(2), 0, "ben")
	c.Assert(err, qt.ErrorIs, ErrNotPublished)
	c.Assert(err, qt.ErrorMatches, `(?s).*config/head is missing.*`)
}

func TestReadSetRefusesWhatTheHeadDoesNotName(t *testing.T) {
	expectRefused := func(name, want string, spoil func(*fakePlatform)) {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFake()
			s := f.store("a")
			expectPublished(c, s, 1, 0, "ann")
			spoil(f)
			head, err := s.ReadHead(context.Background())
			if err == nil {
				_, err = s.ReadSet(context.Background(), head)
			}
			c.Assert(err, qt.ErrorMatches, "(?s).*"+want+".*")
		})
	}
	expectRefused("other content", "the object has digest", func(f *fakePlatform) {
		for name := range f.objects {
			f.objects[name] = []byte("{}")
		}
	})
	expectRefused("other version", "the object is version 1", func(f *fakePlatform) {
		corrupt(t, f, HeadKey, func(h *Head) { h.Version = 2 })
	})
	expectRefused("no digest", "names no version, digest", func(f *fakePlatform) {
		corrupt(t, f, HeadKey, func(h *Head) { h.Digest = "" })
	})
	expectRefused("no object", "no such object", func(f *fakePlatform) { clear(f.objects) })
}
