package chuteshare

import (
	"context"
	"errors"
	"io"
	"math"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"azurechute.example/azurechute/internal/chuteshare/chutesharepb"
	"azurechute.example/azurechute/internal/chutework"
)

const (
	// workKeepaliveInterval is how often either side of a work exchange sends a message if it has nothing to report.
	workKeepaliveInterval = time.Second
	// workSilenceTimeout is the time without a message after which a peer counts as silent: two keepalives are missing.
	// The first message has to come within firstKeepaliveTimeout.
	workSilenceTimeout = 2500 * time.Millisecond
	// workCloseTimeout bounds the wait for a peer to end a stream that this node has closed.
	workCloseTimeout = 500 * time.Millisecond
	// maxWorkName bounds the names of nodes, zones and upstreams in bytes.
	maxWorkName = 200
	// maxWorkTokens and maxWorkCalls bound the work of one upstream, far above what one can hold.
	maxWorkTokens = 1e9
	maxWorkCalls  = 1e6
	// maxWorkNumbers bounds the upstreams that have a number in one direction of a stream. Numbers halve the size of a
	// report; 985 streams of an aggregator with 512 numbers each take 25 MB.
	maxWorkNumbers = 512
	// maxWorkInterval bounds a learned time between two events.
	maxWorkInterval = time.Minute
)

// WorkPeer is a node that exchanges reports of work.
type WorkPeer struct {
	Node string
	Zone string
}

// WorkSession is what one side of a work exchange does. Its functions are called by several goroutines.
type WorkSession struct {
	// Take returns the reports to send now, none for nothing new, and the time until it is to be called again.
	Take func() (reports []chutework.Report, next time.Duration)
	// Wake has Take called ahead of that time; it may be nil.
	Wake <-chan struct{}
	// Receive applies the reports of a message; a keepalive has none.
	Receive func(reports []chutework.Report)
	// Leaving reports whether this node is shutting down and ends exchanges that others have begun.
	Leaving func() bool
	// End is called once the exchange has ended; it may be nil.
	End func()
}

// errNodeLeaving has a code of its own: Unavailable is that of a broken connection too.
var errNodeLeaving = status.Error(codes.FailedPrecondition, "this VM is shutting down")

// ExchangeWork serves the exchange that another node begins, until that node ends it, is silent for too long or sends an
// invalid message, or this node shuts down.
func (s service) ExchangeWork(stream chutesharepb.Share_ExchangeWorkServer) error {
	if s.handlers.OnWork == nil {
		return status.Error(codes.Unimplemented, "this VM exchanges no work")
	}
	x := &workStream{now: s.handlers.Now, openedAt: s.handlers.Now(), messages: stream}
	silence := time.NewTimer(firstKeepaliveTimeout)
	defer silence.Stop()

	begun := make(chan WorkPeer, 1)
	received := make(chan error, 1)
	sent := make(chan error, 1)
	sessions := make(chan WorkSession, 1)
	go func() { received <- x.receiveAsServer(stream.Context(), begun, sessions, silence) }()

	var session WorkSession
	for {
		select {
		case peer := <-begun:
			session = s.handlers.OnWork(peer)
			if session.End != nil {
				defer session.End()
			}
			sessions <- session
			go func() { sent <- x.send(stream.Context(), session, &chutesharepb.WorkMessage{}) }()
		case err := <-received:
			if errors.Is(err, io.EOF) {
				return nil
			}

			return err
		case err := <-sent:
			return err
		case <-silence.C:
			return status.Error(codes.DeadlineExceeded, errPeerSilent.Error())
		case <-stream.Context().Done():
			return nil
		}
	}
}

// ExchangeWork begins an exchange with a peer and returns when it has ended: with nil if ctx ended it, else with the
// reason. The code of the error is Unimplemented for a peer of an older build.
func (c *Client) ExchangeWork(ctx context.Context, address string, self WorkPeer, session WorkSession) error {
	if session.End != nil {
		defer session.End()
	}
	errorContext := oops.In("share").With("step", "exchange work", "peer", address)
	conn, err := c.connTo(address)
	if err != nil {
		return errorContext.Wrap(err)
	}
	if err := awaitConnected(ctx, conn); err != nil {
		if ctx.Err() != nil {
			return nil
		}

		return errorContext.Wrap(err)
	}
	// The stream outlives ctx for as long as it takes to end it in order.
	streamContext, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	silence := time.AfterFunc(firstKeepaliveTimeout, func() { cancel(errPeerSilent) })
	defer silence.Stop()

	stream, err := chutesharepb.NewShareClient(conn).ExchangeWork(streamContext)
	if err != nil {
		return errorContext.Wrap(err)
	}
	x := &workStream{now: c.Clock.Now, openedAt: c.Clock.Now(), messages: stream}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_ = x.send(ctx, session, &chutesharepb.WorkMessage{Node: self.Node, Zone: self.Zone})
		_ = stream.CloseSend()
		if ctx.Err() != nil {
			time.AfterFunc(workCloseTimeout, func() { cancel(nil) })
		}
	}()
	err = x.receiveAsClient(session, silence)
	cancel(err)
	<-sent
	switch {
	case errors.Is(context.Cause(streamContext), errPeerSilent):
		c.closeConn(address, conn)

		return errorContext.Wrap(errPeerSilent)
	case ctx.Err() != nil:
		return nil
	}

	return errorContext.Wrap(err)
}

// IsSilent reports whether an exchange ended because the peer was silent or could not be connected to.
func IsSilent(err error) bool {
	return errors.Is(err, errPeerSilent) || errors.Is(err, errNotConnected)
}

// IsLeaving reports whether an exchange ended because the peer shuts down.
func IsLeaving(err error) bool {
	return status.Code(err) == codes.FailedPrecondition
}

// workStream is one exchange as seen from one side.
type workStream struct {
	now      func() time.Time
	openedAt time.Time
	// numbers are those of the upstreams that this side has reported, numbered the upstreams that the peer has.
	numbers  workNumbers
	numbered workNames
	messages interface {
		Send(message *chutesharepb.WorkMessage) error
		Recv() (*chutesharepb.WorkMessage, error)
	}
}

// send sends the first message and then what the session has to report, with keepalives in between, until ctx ends.
func (x *workStream) send(ctx context.Context, session WorkSession, message *chutesharepb.WorkMessage) error {
	var sentAt time.Time
	for {
		if session.Leaving() {
			return errNodeLeaving
		}
		reports, next := session.Take()
		now := time.Now()
		if len(reports) > 0 || sentAt.IsZero() || now.Sub(sentAt) >= workKeepaliveInterval {
			message.Reports, message.SentMs = encodeWork(reports, &x.numbers), x.now().Sub(x.openedAt).Milliseconds()+1
			if err := x.messages.Send(message); err != nil {
				return err
			}
			message, sentAt = &chutesharepb.WorkMessage{}, now
		}
		timer := time.NewTimer(max(time.Millisecond, min(next, workKeepaliveInterval-now.Sub(sentAt))))
		select {
		case <-timer.C:
		case <-session.Wake:
		case <-ctx.Done():
			timer.Stop()

			return nil
		}
		timer.Stop()
	}
}

// receiveAsServer reads the messages of a caller until the stream ends. It sends who the caller is, and gets the session
// for it.
func (x *workStream) receiveAsServer(
	ctx context.Context, begun chan<- WorkPeer, sessions <-chan WorkSession, silence *time.Timer,
) error {
	message, err := x.messages.Recv()
	if err != nil {
		return err
	}
	peer := WorkPeer{Node: message.GetNode(), Zone: message.GetZone()}
	if !isWorkName(peer.Node) || !isWorkName(peer.Zone) {
		return status.Error(codes.InvalidArgument, "Node or Zone of the first message is empty or too long")
	}
	transits := newTransitMeter(x.openedAt)
	reports, err := x.decode(message, transits)
	if err != nil {
		return err
	}
	begun <- peer
	var session WorkSession
	select {
	case session = <-sessions:
	case <-ctx.Done():
		return ctx.Err()
	}
	for {
		silence.Reset(workSilenceTimeout)
		session.Receive(reports)
		if message, err = x.messages.Recv(); err != nil {
			return err
		}
		if reports, err = x.decode(message, transits); err != nil {
			return err
		}
	}
}

// receiveAsClient reads the messages of the peer until the stream ends.
func (x *workStream) receiveAsClient(session WorkSession, silence *time.Timer) error {
	transits := newTransitMeter(x.openedAt)
	for {
		message, err := x.messages.Recv()
		if err != nil {
			return err
		}
		silence.Reset(workSilenceTimeout)
		reports, err := x.decode(message, transits)
		if err != nil {
			return err
		}
		session.Receive(reports)
	}
}

// decode returns the reports of a message with the ages that they have now. The error has the code InvalidArgument.
func (x *workStream) decode(message *chutesharepb.WorkMessage, transits *transitMeter) ([]chutework.Report, error) {
	// How much longer than the fastest message it was on its way.
	delay := transits.observe(message.GetSentMs(), x.now()).Min
	reports, err := decodeWork(message.GetReports(), &x.numbered)
	if err != nil {
		return nil, err
	}
	for i := range reports {
		reports[i].Age += delay
		reports[i].PaceAge += delay
	}

	return reports, nil
}

func isWorkName(name string) bool {
	return name != "" && len(name) <= maxWorkName
}

// workNumbers gives numbers to upstreams, from 1. It is used by one goroutine.
type workNumbers struct {
	byUpstream map[string]uint32
}

// number returns the number of an upstream, and whether it was given just now. If all are in use, they are given anew.
func (n *workNumbers) number(upstream string) (number uint32, isNew bool) {
	if number, ok := n.byUpstream[upstream]; ok {
		return number, false
	}
	if n.byUpstream == nil || len(n.byUpstream) >= maxWorkNumbers {
		n.byUpstream = map[string]uint32{}
	}
	number = uint32(len(n.byUpstream) + 1) //nolint:gosec // up to maxWorkNumbers
	n.byUpstream[upstream] = number

	return number, true
}

// workNames holds the upstreams to which the peer has given numbers. It is used by one goroutine.
type workNames struct {
	byNumber []string
}

// resolve returns the upstream that a report is on, empty if the number is not known, and false if it is out of range.
func (n *workNames) resolve(upstream string, number uint32) (string, bool) {
	switch {
	case number > maxWorkNumbers:
		return "", false
	case number == 0:
		return upstream, true
	case upstream == "":
		if int(number) >= len(n.byNumber) {
			return "", true
		}

		return n.byNumber[number], true
	}
	for len(n.byNumber) <= int(number) {
		n.byNumber = append(n.byNumber, "")
	}
	n.byNumber[number] = upstream

	return upstream, true
}

func encodeWork(reports []chutework.Report, numbers *workNumbers) []*chutesharepb.WorkReport {
	var converted []*chutesharepb.WorkReport
	for _, r := range reports {
		number, isNew := numbers.number(r.Upstream)
		upstream := ""
		if isNew {
			upstream = r.Upstream
		}
		converted = append(converted, &chutesharepb.WorkReport{
			Upstream: upstream, Number: number, Calls: clampInt32(int64(r.Calls), maxWorkCalls), Tokens: min(r.Tokens, maxWorkTokens),
			AgeMs:      clampInt32(encodeAge(r.Age), math.MaxInt32),
			IntervalUs: min(r.EventInterval, maxWorkInterval).Microseconds(), Samples: clampInt32(int64(r.Samples), math.MaxInt32),
			Pace: clampInt32(int64(r.Pace), math.MaxInt32), PaceAgeMs: clampInt32(encodeAge(r.PaceAge), math.MaxInt32),
		})
	}

	return converted
}

func clampInt32(n, highest int64) int32 {
	return int32(min(n, highest)) //nolint:gosec // within the bound
}

// decodeWork returns the reports of a message, or an error with the code InvalidArgument that names the field.
func decodeWork(messages []*chutesharepb.WorkReport, numbered *workNames) ([]chutework.Report, error) {
	if len(messages) > chutework.MaxReports {
		return nil, status.Errorf(codes.InvalidArgument, "Reports has %d entries, more than %d", len(messages), chutework.MaxReports)
	}
	reports := make([]chutework.Report, 0, len(messages))
	for i, m := range messages {
		upstream, ok := numbered.resolve(m.GetUpstream(), m.GetNumber())
		if !ok {
			return nil, status.Errorf(codes.InvalidArgument, "Reports[%d]: Number is out of range", i)
		}
		if field := invalidWorkField(upstream, m); field != "" {
			return nil, status.Errorf(codes.InvalidArgument, "Reports[%d]: %s is out of range", i, field)
		}
		reports = append(reports, chutework.Report{
			Upstream: upstream, Calls: int(m.GetCalls()), Tokens: m.GetTokens(), Age: milliseconds(int64(m.GetAgeMs())),
			EventInterval: time.Duration(m.GetIntervalUs()) * time.Microsecond, Samples: int(m.GetSamples()),
			Pace: int(m.GetPace()), PaceAge: milliseconds(int64(m.GetPaceAgeMs())),
		})
	}

	return reports, nil
}

// invalidWorkField returns the name of a field that is out of range; empty if none is.
func invalidWorkField(upstream string, m *chutesharepb.WorkReport) string {
	switch {
	case !isWorkName(upstream):
		return "Upstream"
	case m.GetCalls() < 0 || m.GetCalls() > maxWorkCalls:
		return "Calls"
	case m.GetTokens() < 0 || m.GetTokens() > maxWorkTokens:
		return "Tokens"
	case m.GetAgeMs() < 0:
		return "Age"
	case m.GetIntervalUs() < 0 || m.GetIntervalUs() > maxWorkInterval.Microseconds():
		return "Interval"
	case m.GetSamples() < 0:
		return "Samples"
	case m.GetPace() < 0:
		return "Pace"
	case m.GetPaceAgeMs() < 0:
		return "PaceAge"
	}

	return ""
}
