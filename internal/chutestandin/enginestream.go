package chutestandin

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"azurechute.example/azurechute/internal/chuteprompt"
	"azurechute.example/azurechute/internal/chuterequest"
)

// overlapFrames is how many earlier frames FaultOverlap sends again.
const overlapFrames = 3

type tokenFrame struct {
	AttemptID string
	Offset    int
	Text      string
}

type lastFrame struct {
	AttemptID   string
	Done        bool
	Length      int
	Digest      string
	Units       int64
	PromptUnits int64
	CachedUnits int64
	Load        chuterequest.Load
}

// streamSource is what a stream tells; FaultCross swaps it between two streams.
type streamSource struct {
	attempt string
	tokens  tokenSource
	resumed string
	from    int
}

// stream writes one answer of an engine as server-sent events.
type stream struct {
	engine    *Engine
	w         http.ResponseWriter
	at        point
	source    streamSource
	tokenTime time.Duration
	strikes   map[FaultKind]Fault
	// quiet streams run to the end without writing: their answer is lost or replaced by an error.
	quiet                    bool
	promptUnits, cachedUnits int64
	progress                 func(units int64, completed bool)
}

func (e *Engine) newStream(w http.ResponseWriter, at point, req generateRequest, tokenTime time.Duration) *stream {
	s := &stream{
		engine: e, w: w, at: at, tokenTime: tokenTime, strikes: map[FaultKind]Fault{},
		source: streamSource{
			attempt: e.staleAttempt(at, req.AttemptID),
			tokens:  newTokenSource(req.Prompt, req.MaxTokens),
			resumed: req.ResumeText,
			from:    req.ResumeOffset,
		},
	}

	for _, kind := range []FaultKind{
		FaultDropAnswer, FaultFail, FaultLate, FaultCross, FaultTruncate, FaultBreak, FaultStall,
		FaultDuplicate, FaultOverlap, FaultGap,
	} {
		if fault, ok := e.take(kind, at); ok {
			fault.Offset = max(min(fault.Offset, s.source.tokens.length-1), req.ResumeOffset)
			s.strikes[kind] = fault
		}
	}

	s.quiet = s.struck(FaultDropAnswer) || s.struck(FaultFail)

	return s
}

func (s *stream) struck(kind FaultKind) bool {
	_, ok := s.strikes[kind]
	return ok
}

func (s *stream) strikesAt(kind FaultKind, offset int) bool {
	fault, ok := s.strikes[kind]
	return ok && fault.Offset == offset
}

// run generates to the end unless ctx is done or a fault ends the stream.
func (s *stream) run(ctx context.Context) {
	if !s.quiet {
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("X-Attempt-Id", s.source.attempt)
		s.w.WriteHeader(http.StatusOK)
	}

	due := s.engine.clock.Now()
	for i := s.source.from; i < s.source.tokens.length; i++ {
		// Each token has its own due time, so that the sleeps' overshoot doesn't add up over a long answer.
		due = due.Add(s.tokenTime)
		if sleep(ctx, s.engine.clock, due.Sub(s.engine.clock.Now())) != nil {
			return
		}

		s.progress(int64(i-s.source.from+1), false)
		if !s.emit(ctx, i) {
			return
		}
	}

	s.progress(int64(max(s.source.tokens.length-s.source.from, 0)), true)
	s.finish(ctx)
}

// emit writes token i and strikes the faults due there; false ends the stream.
func (s *stream) emit(ctx context.Context, i int) bool {
	switch {
	case s.strikesAt(FaultTruncate, i):
		return false
	case s.strikesAt(FaultBreak, i):
		abort()
	case s.strikesAt(FaultStall, i):
		<-ctx.Done()
		return false
	case s.strikesAt(FaultGap, i):
		return true
	case s.strikesAt(FaultCross, i):
		s.source = exchange(ctx, s.engine.injector, s.at.path, s.strikes[FaultCross], s.source)
	}

	if s.strikesAt(FaultOverlap, i) {
		for k := max(i-overlapFrames, 0); k < i; k++ {
			s.writeToken(k)
		}
	}

	if s.strikesAt(FaultDuplicate, i) {
		s.writeToken(i)
	}

	s.writeToken(i)

	return true
}

func (s *stream) writeToken(i int) {
	s.write(tokenFrame{AttemptID: s.source.attempt, Offset: i, Text: s.source.tokens.token(i)})
}

// finish writes the last frame; its digest covers the resumed text as the caller sent it.
func (s *stream) finish(ctx context.Context) {
	if s.struck(FaultLate) {
		_ = sleep(ctx, s.engine.clock, s.strikes[FaultLate].delay())
	}

	if s.struck(FaultFail) {
		failedAfterwards.write(s.w)
		return
	}

	if s.quiet {
		abort()
	}

	length := max(s.source.tokens.length, s.source.from)
	s.write(lastFrame{
		AttemptID: s.source.attempt, Done: true, Length: length,
		Digest: chuteprompt.Digest(s.source.resumed + s.source.tokens.text(s.source.from, length)),
		Units:  int64(length - s.source.from), PromptUnits: s.promptUnits, CachedUnits: s.cachedUnits,
		Load: s.engine.loadNow(),
	})
}

func (s *stream) write(frame any) {
	if s.quiet {
		return
	}

	encoded, err := json.Marshal(frame)
	if err != nil {
		abort()
	}

	// A write error means that the client left, which ends ctx too.
	_, _ = s.w.Write([]byte("data: " + string(encoded) + "\n\n"))
	_ = http.NewResponseController(s.w).Flush()
}
