package chuteload

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/oops"

	"azurechute.example/azurechute/pkg/chuteapi"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

// defaultInFlight bounds the requests in flight where Runner sets no bound.
const defaultInFlight = 4096

// Sender sends one call; onToken is told of each token of a stream, when it comes.
type Sender func(ctx context.Context, call Call, onToken func()) (chuteapi.Answer, error)

// Runner runs plans.
type Runner struct {
	// Config is the configuration in force at the nodes.
	Config chuteconfig.Config
	Clock  clockwork.Clock
	// Name starts every RequestID; two runs against one table need two names.
	Name string
	// Verify compares each answer with what the stand-ins must give.
	Verify bool
	// MaxInFlight bounds the requests in flight; 0 means 4096.
	MaxInFlight int
}

// Open runs a plan open-loop and reports on it once the last request has ended.
func (r Runner) Open(ctx context.Context, plan Plan, mode string, send Sender) (Report, error) {
	if err := plan.Check(r.Config); err != nil {
		return Report{}, oops.In("load").With("step", "check plan").Wrap(err)
	}

	records := newRecorder()
	started := r.Clock.Now()
	err := r.dispatch(ctx, plan, started, send, records)
	report := Report{Run: r.Name, StartedAt: started.UTC(), Seconds: r.Clock.Since(started).Seconds(), Plan: plan, Mode: mode}
	records.fill(&report)

	return report, err
}

// dispatch starts each call when it is due, however many are still under way.
func (r Runner) dispatch(ctx context.Context, plan Plan, started time.Time, send Sender, records *recorder) error {
	var calls sync.WaitGroup
	defer calls.Wait()

	limit := r.MaxInFlight
	if limit <= 0 {
		limit = defaultInFlight
	}

	inFlight := make(chan struct{}, limit)

	for arrival := range plan.Arrivals(r.Config) {
		due := started.Add(arrival.Due)
		if err := r.sleepUntil(ctx, due); err != nil {
			return err
		}

		call, err := plan.newCall(r.Config, r.Name, arrival)
		if err != nil {
			return err
		}

		select {
		case inFlight <- struct{}{}:
		default:
			records.skip()

			continue
		}

		records.late(r.Clock.Since(due))
		calls.Go(func() {
			defer func() { <-inFlight }()

			res := r.call(ctx, call, due, send)
			res.arrival, res.phase = arrival, phaseName(plan, arrival.Phase)
			res.measured = !plan.Phases[arrival.Phase].Unmeasured
			records.add(res)
		})
	}

	return nil
}

func phaseName(plan Plan, i int) string {
	if name := plan.Phases[i].Name; name != "" {
		return name
	}

	return "phase-" + strconv.Itoa(i)
}

func (r Runner) sleepUntil(ctx context.Context, due time.Time) error {
	wait := due.Sub(r.Clock.Now())
	if wait <= 0 {
		return ctx.Err()
	}

	timer := r.Clock.NewTimer(wait)
	defer timer.Stop()

	select {
	case <-timer.Chan():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// call sends one call, times it from when it was due and checks its answer.
func (r Runner) call(ctx context.Context, call Call, due time.Time, send Sender) result {
	res := result{deadline: call.Request.Deadline}

	var last time.Time

	onToken := func() {
		now := r.Clock.Now()
		if last.IsZero() {
			res.firstToken = now.Sub(due)
		} else {
			res.between = append(res.between, now.Sub(last))
		}

		last = now
	}

	res.answer, res.err = send(ctx, call, onToken)
	res.total = r.Clock.Since(due)

	if res.err == nil && r.Verify {
		res.wrong = r.verify(call, res.answer)
	}

	return res
}

func (r Runner) verify(call Call, answer chuteapi.Answer) error {
	want, err := expect(r.Config, call.Request)
	if err != nil {
		return err
	}

	return want.check(answer)
}
