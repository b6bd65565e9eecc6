package chutehttp

import (
	"net/http"
	"time"

	"azurechute.example/azurechute/internal/chuterequest"
)

// observe wraps a handler with the exchange, the access log, the counters and a last net for panics.
func (f *Frontend) observe(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{
			w:       newResponseWriter(w, f.draining.Load()),
			arrived: f.clock.Now(),
			step:    stepArrived,
		}

		defer f.finished(r, x)

		next.ServeHTTP(x.w, r.WithContext(withExchange(r.Context(), x)))
	})
}

// finished logs and counts the exchange, and answers in place of a handler that panicked.
func (f *Frontend) finished(r *http.Request, x *exchange) {
	panicked := recover()
	if panicked != nil {
		f.log.Error().Interface("Panic", panicked).Str("Request", x.key.String()).Str("Step", string(x.step)).Stack().Msg("handler panicked")
	}

	if panicked != nil && x.w.status == 0 {
		writeRefusal(r.Context(), x.w, afterPanic(x))
		panicked = nil
	}

	took := f.clock.Since(x.arrived)
	f.metrics.count(x, took)
	f.access(r, x, took)

	if panicked != nil {
		// Part of the answer is out; only a broken connection tells the caller that it is not whole.
		panic(http.ErrAbortHandler)
	}
}

// afterPanic cannot rule out that the node ran a part of a checked submission.
func afterPanic(x *exchange) *refusalBody {
	body := &refusalBody{Code: codeInternal, Problem: "internal error; the log of this node says more"}
	if x.step == stepChecked || x.step == stepFinished {
		body.Outcome = chuterequest.OutcomeUnknown
	}

	return body
}

// access writes the one log line of an exchange; reads that went well, such as probes, are left to level debug.
func (f *Frontend) access(r *http.Request, x *exchange, took time.Duration) {
	event := f.log.Info()
	if r.Method == http.MethodGet && x.w.status == http.StatusOK {
		event = f.log.Debug()
	}

	event = event.Str("Method", r.Method).Str("Path", cut(r.URL.Path)).Int("Status", x.w.status).Str("Step", string(x.step))

	if x.key.RequestID != "" {
		event = event.Str("Request", x.key.String()).Str("Pipeline", x.pipeline)
	}

	if x.outcome != "" {
		event = event.Str("Outcome", string(x.outcome))
	}

	if x.tokens > 0 {
		event = event.Int("Tokens", x.tokens)
	}

	event.Dur("Took", took).Msg("request")
}
