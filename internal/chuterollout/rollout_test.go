package chuterollout_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"azurechute.example/azurechute/internal/chuterollout"
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func id(version uint64) chuterollout.ID {
	return chuterollout.ID{Version: version, Digest: fmt.Sprint("digest-", version)}
}

func head(version uint64, at time.Time) chuterollout.HeadRead {
	return chuterollout.HeadRead{ID: id(version), Object: fmt.Sprint("config/digest-", version), Started: at, At: at}
}

func offer(peer string, version uint64) chuterollout.PeerOffered {
	return chuterollout.PeerOffered{ID: id(version), Peer: peer, At: start}
}

// adopted returns the state of a node that got the version from the table at start.
func adopted(c *qt.C, version uint64) chuterollout.State {
	s, wants := chuterollout.New(chuterollout.Settings{}).WithHeadRead(head(version, start))
	s, wants = s.WithBodyFetched(chuterollout.BodyFetched{Fetch: *wants.Fetch, Digest: wants.Fetch.Digest, At: start})
	c.Assert(*wants.Adopt, qt.Equals, id(version))

	return s
}

func expectAdopted(c *qt.C, s chuterollout.State, version uint64) {
	c.Helper()
	c.Assert(s.Adopted(), qt.Equals, id(version))
}

func TestAdoption(t *testing.T) {
	c := qt.New(t)

	c.Run("unready until the first", func(c *qt.C) {
		s := chuterollout.New(chuterollout.Settings{})
		c.Assert(s.ShouldReadHead(start, false), qt.IsTrue)
		s, wants := s.WithPeerOffered(offer("p", 3))
		c.Assert(s.Ready(), qt.IsFalse)
		s, _ = s.WithBodyFetched(chuterollout.BodyFetched{Fetch: *wants.Fetch, Digest: id(3).Digest, At: start})
		c.Assert(s.Ready(), qt.IsTrue)
	})

	c.Run("ignores an older head and does not take it for fresh", func(c *qt.C) {
		s := adopted(c, 5)
		s, wants := s.WithHeadRead(head(4, start.Add(10*time.Second)))
		c.Assert(wants, qt.Equals, chuterollout.Wants{})
		c.Assert(s.StaleReads(), qt.Equals, 1)
		c.Assert(s.HeadAge(start.Add(10*time.Second)), qt.Equals, 10*time.Second)
		expectAdopted(c, s, 5)
	})

	c.Run("keeps ours at an equal version with another digest", func(c *qt.C) {
		s := adopted(c, 5)
		other := chuterollout.ID{Version: 5, Digest: "other"}
		s, _ = s.WithPeerOffered(chuterollout.PeerOffered{ID: other, Peer: "p", At: start})
		s, _ = s.WithHeadRead(chuterollout.HeadRead{ID: other, Started: start, At: start})
		s, wants := s.WithHeadRead(chuterollout.HeadRead{ID: other, Started: start, At: start})
		c.Assert(wants.Fetch, qt.IsNil)
		c.Assert(s.Conflicts(), qt.HasLen, 2)
		expectAdopted(c, s, 5)
	})

	c.Run("refuses a body with another digest and tries the next source", func(c *qt.C) {
		s, wants := adopted(c, 5).WithPeerOffered(offer("p", 6))
		s, _ = s.WithHeadRead(head(6, start))
		s, wants = s.WithBodyFetched(chuterollout.BodyFetched{Fetch: *wants.Fetch, Digest: "cut off", At: start})
		c.Assert(wants.Adopt, qt.IsNil)
		c.Assert(wants.Fetch.Source, qt.Equals, chuterollout.SourceTable)
		expectAdopted(c, s, 5)
	})

	c.Run("a made-up version of a peer does not shut out the real one", func(c *qt.C) {
		s, wants := adopted(c, 5).WithPeerOffered(offer("liar", 999))
		s, _ = s.WithHeadRead(head(6, start))
		s, wants = s.WithFetchFailed(*wants.Fetch, start)
		s, _ = s.WithPeerOffered(offer("honest", 7))
		s, wants = s.WithBodyFetched(chuterollout.BodyFetched{Fetch: *wants.Fetch, Digest: wants.Fetch.Digest, At: start})
		expectAdopted(c, s, 6)
		c.Assert(wants.Fetch.ID, qt.Equals, id(7))
	})

	c.Run("a peer's body is refused once the table names another digest", func(c *qt.C) {
		s, wants := adopted(c, 5).WithPeerOffered(chuterollout.PeerOffered{ID: chuterollout.ID{Version: 6, Digest: "odd"}, Peer: "p", At: start})
		s, _ = s.WithHeadRead(head(6, start))
		s, wants = s.WithBodyFetched(chuterollout.BodyFetched{Fetch: *wants.Fetch, Digest: "odd", At: start})
		c.Assert(wants.Adopt, qt.IsNil)
		c.Assert(wants.Fetch.ID, qt.Equals, id(6))
		c.Assert(s.Conflicts(), qt.HasLen, 1)
	})
}

func TestReading(t *testing.T) {
	c := qt.New(t)

	c.Run("a fresh word of a peer spares the own read", func(c *qt.C) {
		s, _ := adopted(c, 5).WithPeerOffered(chuterollout.PeerOffered{
			ID: id(5), Peer: "duty", HeadAge: time.Second, At: start.Add(3 * time.Second),
		})
		c.Assert(s.ShouldReadHead(start.Add(4*time.Second), false), qt.IsFalse)
		c.Assert(s.ShouldReadHead(start.Add(6*time.Second), false), qt.IsTrue)
	})

	c.Run("says nothing of freshness while a higher version is known", func(c *qt.C) {
		s, _ := adopted(c, 5).WithHeadRead(head(6, start))
		c.Assert(s.HeadAge(start.Add(time.Second)), qt.Equals, time.Duration(0))
	})
}

// lonely is a node that no peer reaches, before a table and an object store that answer after a fixed time.
type lonely struct {
	state   chuterollout.State
	written time.Duration
	pending []answer
}

type answer struct {
	at    time.Duration
	apply func(at time.Time) chuterollout.Wants
}

const slow = 950 * time.Millisecond

func (l *lonely) step(real time.Duration) {
	now := start.Add(real)
	for len(l.pending) > 0 && l.pending[0].at <= real {
		next := l.pending[0]
		l.pending = l.pending[1:]
		l.run(real, next.apply(now))
	}
	var wants chuterollout.Wants
	l.state, wants = l.state.WithDue(now, false)
	l.run(real, wants)
}

func (l *lonely) run(real time.Duration, wants chuterollout.Wants) {
	if wants.ReadHead {
		version := uint64(1)
		if real >= l.written {
			version = 2
		}
		read := head(version, start.Add(real))
		l.pending = append(l.pending, answer{at: real + slow, apply: func(at time.Time) (w chuterollout.Wants) {
			read.At = at
			l.state, w = l.state.WithHeadRead(read)

			return w
		}})
	}
	if wants.Fetch != nil {
		l.pending = append(l.pending, answer{at: real + slow, apply: func(at time.Time) (w chuterollout.Wants) {
			l.state, w = l.state.WithBodyFetched(chuterollout.BodyFetched{Fetch: *wants.Fetch, Digest: wants.Fetch.Digest, At: at})

			return w
		}})
	}
}

func TestInForceWithinSixSeconds(t *testing.T) {
	// A node that no peer reaches and that is not on duty: the change is written at any moment between its reads, the
	// table and the object store take nearly their whole timeout, and it still adopts within six seconds.
	limit := 6 * time.Second
	qt.Assert(t, chuterollout.Settings{}.Longest() < limit, qt.IsTrue)
	rapid.Check(t, func(t *rapid.T) {
		l := &lonely{written: time.Duration(rapid.IntRange(5000, 9000).Draw(t, "written")) * time.Millisecond}
		l.state = chuterollout.New(chuterollout.Settings{Seed: rapid.Uint64().Draw(t, "seed")})
		for real := time.Duration(0); real < l.written+limit; real += 50 * time.Millisecond {
			l.step(real)
		}
		if l.state.Adopted() != id(2) {
			t.Fatalf("version %d in force %v after the write of 2", l.state.Adopted().Version, limit)
		}
	})
}

// drawEvent applies an event of a few versions and digests in any order: late, repeated, contradictory, made up.
func drawEvent(t *rapid.T, s chuterollout.State, asked []chuterollout.Fetch, now time.Time) (chuterollout.State, chuterollout.Wants) {
	which := chuterollout.ID{
		Version: rapid.Uint64Range(0, 5).Draw(t, "version"),
		Digest:  rapid.SampledFrom([]string{"x", "y"}).Draw(t, "digest"),
	}
	switch kind := rapid.IntRange(0, 5).Draw(t, "event"); {
	case kind == 0:
		return s.WithHeadRead(chuterollout.HeadRead{ID: which, Started: now, At: now})
	case kind == 1:
		return s.WithPeerOffered(chuterollout.PeerOffered{ID: which, Peer: rapid.SampledFrom([]string{"p", "q"}).Draw(t, "peer"), At: now})
	case kind == 2:
		return s.WithHeadReadFailed(now)
	case kind == 3 && len(asked) > 0:
		return s.WithFetchFailed(rapid.SampledFrom(asked).Draw(t, "fetch"), now)
	case kind == 4 && len(asked) > 0:
		return s.WithBodyFetched(chuterollout.BodyFetched{Fetch: rapid.SampledFrom(asked).Draw(t, "fetch"), Digest: which.Digest, At: now})
	default:
		return s.WithDue(now, rapid.Bool().Draw(t, "duty"))
	}
}

func TestVersionNeverGoesDown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := chuterollout.New(chuterollout.Settings{}), start
		var asked []chuterollout.Fetch
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "pause")) * time.Millisecond)
			before := s.Adopted()
			var wants chuterollout.Wants
			s, wants = drawEvent(t, s, asked, now)
			if wants.Fetch != nil {
				asked = append(asked, *wants.Fetch)
			}
			after := s.Adopted()
			if after != before && after.Version <= before.Version {
				t.Fatalf("%v after %v", after, before)
			}
			if (after != before) != (wants.Adopt != nil) || wants.Adopt != nil && *wants.Adopt != after {
				t.Fatalf("adopts %v, wants %v", after, wants.Adopt)
			}
		}
	})
}
