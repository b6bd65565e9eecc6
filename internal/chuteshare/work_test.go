package chuteshare

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"azurechute.example/azurechute/internal/chuteshare/chutesharepb"
	"azurechute.example/azurechute/internal/chutework"
)

// workSide is one side of an exchange in a test.
type workSide struct {
	// outgoing are the messages to send, received all that came, keepalives with no reports.
	outgoing chan []chutework.Report
	received chan []chutework.Report
	wake     chan struct{}
	leaving  atomic.Bool
	ended    chan struct{}
}

func newWorkSide() *workSide {
	return &workSide{
		outgoing: make(chan []chutework.Report, 8), received: make(chan []chutework.Report, 64), wake: make(chan struct{}, 1), ended: make(chan struct{}),
	}
}

func (s *workSide) session() WorkSession {
	return WorkSession{
		Take: func() ([]chutework.Report, time.Duration) {
			select {
			case reports := <-s.outgoing:
				return reports, 10 * time.Millisecond
			default:
				return nil, 10 * time.Millisecond
			}
		},
		Wake: s.wake, Receive: func(reports []chutework.Report) { s.received <- reports },
		Leaving: s.leaving.Load, End: func() { close(s.ended) },
	}
}

// next returns the next message that is no keepalive.
func (s *workSide) next() []chutework.Report {
	for reports := range s.received {
		if len(reports) > 0 {
			return reports
		}
	}

	return nil
}

func workReport() chutework.Report {
	return chutework.Report{
		Upstream: "i-ae34ab937d@1764700000123", Calls: 3, Tokens: 41_000, Age: 20 * time.Millisecond, EventInterval: 12_345 * time.Microsecond,
		Samples: 4, Pace: 250, PaceAge: 30 * time.Millisecond,
	}
}

var workSelf = WorkPeer{Node: "n1", Zone: "z1"}

func TestExchangeWork(t *testing.T) {
	t.Run("reports arrive as sent in both directions, and the end of the caller ends the exchange", func(t *testing.T) {
		// Guards against reports that change on their way, and against an aggregator that keeps those of a node that reports
		// to another one.
		c := qt.New(t)
		callee, caller := newWorkSide(), newWorkSide()
		var peer WorkPeer
		s := startServerWithWork(t, func(p WorkPeer) WorkSession {
			peer = p

			return callee.session()
		})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		client, result := newClient(t), make(chan error, 1)
		caller.outgoing <- []chutework.Report{workReport()}
		go func() { result <- client.ExchangeWork(ctx, s.address, workSelf, caller.session()) }()
		expectWork(c, callee.next(), workReport())
		c.Assert(peer, qt.Equals, workSelf)
		other := chutework.Report{Upstream: "u"}
		callee.outgoing <- []chutework.Report{workReport(), other}
		expectWork(c, caller.next(), workReport(), other)
		cancel()
		c.Assert(<-result, qt.IsNil)
		<-callee.ended
		<-caller.ended
	})

	t.Run("a peer that has nothing to report is kept, by keepalives", func(t *testing.T) {
		// Guards against an idle aggregator that is taken for a silent one.
		c := qt.New(t)
		callee, caller := newWorkSide(), newWorkSide()
		s := startServerWithWork(t, func(WorkPeer) WorkSession { return callee.session() })
		ctx, cancel := context.WithTimeout(context.Background(), workSilenceTimeout+workKeepaliveInterval)
		defer cancel()
		c.Assert(newClient(t).ExchangeWork(ctx, s.address, workSelf, caller.session()), qt.IsNil)
		for _, side := range []*workSide{callee, caller} {
			<-side.ended
			count := len(side.received)
			c.Assert(count >= 3 && count <= 5, qt.IsTrue, qt.Commentf("%d keepalives", count))
		}
	})

	t.Run("a peer that shuts down ends the exchange", func(t *testing.T) {
		// Guards against nodes that report to an aggregator that is about to end.
		c := qt.New(t)
		callee := newWorkSide()
		s := startServerWithWork(t, func(WorkPeer) WorkSession { return callee.session() })
		time.AfterFunc(50*time.Millisecond, func() { callee.leaving.Store(true) })
		err := newClient(t).ExchangeWork(context.Background(), s.address, workSelf, newWorkSide().session())
		c.Assert(IsLeaving(err), qt.IsTrue)
		c.Assert(IsSilent(err), qt.IsFalse)
		<-callee.ended
	})

	t.Run("a peer that is frozen from the beginning is silent", func(t *testing.T) {
		// Guards against a node that waits for a peer whose kernel accepts connections while its process does nothing.
		c := qt.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		defer func() { _ = l.Close() }()
		caller := newWorkSide()
		c.Assert(IsSilent(newClient(t).ExchangeWork(context.Background(), l.Addr().String(), workSelf, caller.session())), qt.IsTrue)
		<-caller.ended
	})

	t.Run("a peer that stops to send is silent", func(t *testing.T) {
		// Guards against an aggregator whose process lives, and whose exchange stands still.
		c := qt.New(t)
		callee := newWorkSide()
		blocked := make(chan struct{})
		defer close(blocked)
		session := callee.session()
		take, taken := session.Take, 0
		session.Take = func() ([]chutework.Report, time.Duration) {
			if taken++; taken > 1 {
				<-blocked
			}

			return take()
		}
		s := startServerWithWork(t, func(WorkPeer) WorkSession { return session })
		c.Assert(IsSilent(newClient(t).ExchangeWork(context.Background(), s.address, workSelf, newWorkSide().session())), qt.IsTrue)
	})

	t.Run("a caller that stops to send is ended", func(t *testing.T) {
		// Guards against streams of callers that are gone, which an aggregator would keep and send to.
		c := qt.New(t)
		callee := newWorkSide()
		s := startServerWithWork(t, func(WorkPeer) WorkSession { return callee.session() })
		err := sendRaw(c, newClient(t), s.address, &chutesharepb.WorkMessage{Node: "n1", Zone: "z1"})
		c.Assert(status.Code(err), qt.Equals, codes.DeadlineExceeded)
		<-callee.ended
	})

	t.Run("a peer of an older build answers Unimplemented", func(t *testing.T) {
		// Guards against an older peer that can't be told from a lost one, and is asked again and again.
		c := qt.New(t)
		err := newClient(t).ExchangeWork(context.Background(), startServer(t).address, workSelf, newWorkSide().session())
		c.Assert(status.Code(err), qt.Equals, codes.Unimplemented)
	})
}

// expectWork checks that reports arrived as sent; only their ages grow on the way.
func expectWork(c *qt.C, got []chutework.Report, want ...chutework.Report) {
	c.Helper()
	c.Assert(got, qt.HasLen, len(want))
	for i := range got {
		c.Assert(got[i].Age >= want[i].Age && got[i].PaceAge >= want[i].PaceAge, qt.IsTrue)
		got[i].Age, got[i].PaceAge = want[i].Age, want[i].PaceAge
	}
	c.Assert(got, qt.DeepEquals, want)
}

// sendRaw sends messages as they are, and returns the error that ends the stream.
func sendRaw(c *qt.C, client *Client, address string, messages ...*chutesharepb.WorkMessage) error {
	conn, err := client.connTo(address)
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stream, err := chutesharepb.NewShareClient(conn).ExchangeWork(ctx)
	c.Assert(err, qt.IsNil)
	for _, message := range messages {
		_ = stream.Send(message)
	}
	for err == nil {
		_, err = stream.Recv()
	}

	return err
}

// Guards against invalid reports that are added up, and a node that is ended or misled by them.
func TestExchangeWorkRejectsInvalid(t *testing.T) {
	many := make([]*chutesharepb.WorkReport, chutework.MaxReports+1)
	for i := range many {
		many[i] = &chutesharepb.WorkReport{Upstream: fmt.Sprint(i)}
	}
	first := func(reports ...*chutesharepb.WorkReport) *chutesharepb.WorkMessage {
		return &chutesharepb.WorkMessage{Node: "n1", Zone: "z1", Reports: reports}
	}
	for field, message := range map[string]*chutesharepb.WorkMessage{
		"Node":                 {Zone: "z1"},
		"Zone":                 {Node: "n1", Zone: strings.Repeat("z", maxWorkName+1)},
		"entries":              first(many...),
		"Upstream":             first(&chutesharepb.WorkReport{}),
		"Number":               first(&chutesharepb.WorkReport{Upstream: "u", Number: maxWorkNumbers + 1}),
		"Calls":                first(&chutesharepb.WorkReport{Upstream: "u", Calls: -1}),
		"Tokens":               first(&chutesharepb.WorkReport{Upstream: "u"}, &chutesharepb.WorkReport{Upstream: "u", Tokens: -1}),
		"Age":                  first(&chutesharepb.WorkReport{Upstream: "u", AgeMs: -1}),
		"Interval":             first(&chutesharepb.WorkReport{Upstream: "u", IntervalUs: -1}),
		"Samples":              first(&chutesharepb.WorkReport{Upstream: "u", Samples: -1}),
		"Pace":                 first(&chutesharepb.WorkReport{Upstream: "u", Pace: -1}),
		"PaceAge":              first(&chutesharepb.WorkReport{Upstream: "u", PaceAgeMs: -1}),
		"Reports[1]: Upstream": first(&chutesharepb.WorkReport{Upstream: "u", Number: 1}, &chutesharepb.WorkReport{Number: 2}),
	} {
		for _, place := range []string{"first", "later"} {
			if place == "later" && (field == "Node" || field == "Zone") {
				continue
			}
			t.Run(field+" in the "+place+" message", func(t *testing.T) {
				c := qt.New(t)
				callee := newWorkSide()
				s := startServerWithWork(t, func(WorkPeer) WorkSession { return callee.session() })
				messages := []*chutesharepb.WorkMessage{message}
				if place == "later" {
					messages = []*chutesharepb.WorkMessage{first(), message}
				}
				err := sendRaw(c, newClient(t), s.address, messages...)
				c.Assert(status.Code(err), qt.Equals, codes.InvalidArgument)
				c.Assert(err.Error(), qt.Contains, field)
				for len(callee.received) > 0 {
					c.Assert(<-callee.received, qt.HasLen, 0)
				}
			})
		}
	}
}

// Guards against reports that are taken for those of another upstream once numbers are given anew.
func TestWorkNumbers(t *testing.T) {
	c := qt.New(t)
	var numbers workNumbers
	var names workNames
	random := rand.New(rand.NewPCG(1, 2))
	withName := 0
	for range 200 {
		var sent []chutework.Report
		for range chutework.MaxReports {
			sent = append(sent, chutework.Report{Upstream: fmt.Sprint("u", min(random.IntN(400), random.IntN(4000)))})
		}
		messages := encodeWork(sent, &numbers)
		for _, m := range messages {
			if m.GetUpstream() != "" {
				withName++
			}
		}
		got, err := decodeWork(messages, &names)
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.DeepEquals, sent)
	}
	c.Assert(len(numbers.byUpstream) <= maxWorkNumbers && len(names.byNumber) <= maxWorkNumbers+1, qt.IsTrue)
	c.Assert(withName < 200*chutework.MaxReports/4, qt.IsTrue, qt.Commentf("%d reports with a name", withName))
}
