package chuteproof

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"azurechute.example/azurechute/pkg/chuteapi"
)

// word is what one caller was told at the end of one call.
type word struct {
	request chuteapi.Request
	node    string
	answer  chuteapi.Answer
	failure *chuteapi.OutcomeError
	took    time.Duration
	// streamed is the text as its tokens came.
	streamed string
}

// outcome is the word in which the call ended; a connection that broke leaves Unknown without a node's word.
func (w word) outcome() chuteapi.Outcome {
	if w.failure != nil {
		return w.failure.Outcome
	}

	return chuteapi.Answered
}

// safeToRepeat says that the caller was told that nothing unrepeatable was run.
func (w word) safeToRepeat() bool {
	return w.failure != nil && (w.failure.Outcome == chuteapi.NotRun || w.failure.Outcome == chuteapi.Failed && w.failure.SafeToRepeat)
}

func (w word) String() string {
	if w.failure != nil {
		return fmt.Sprintf("%s at %s: %s", w.request.RequestID, w.node, w.failure)
	}

	return fmt.Sprintf("%s at %s: Answered", w.request.RequestID, w.node)
}

// requestID joins what tells a request from others; its caller's node can be read from it.
func requestID(parts ...any) string {
	return strings.ReplaceAll(strings.TrimSuffix(fmt.Sprintln(parts...), "\n"), " ", ".")
}

// client calls the given nodes; sends bounds how often it sends a request.
func (c *cluster) client(sends int, nodes ...*process) *chuteapi.Client {
	c.Helper()
	settings := chuteapi.Settings{
		Tokens: map[string]string{proofWorkspace: workspaceToken}, OperatorToken: operationsToken, MaxSends: sends,
		// Each call has a connection of its own, as behind a balancer.
		HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	for _, n := range nodes {
		settings.Nodes = append(settings.Nodes, n.url())
	}
	client, err := chuteapi.New(settings, clockwork.NewRealClock())
	c.Assert(err, qt.IsNil)

	return client
}

// ask sends a request once to one node and waits for its end.
func (c *cluster) ask(n *process, r chuteapi.Request) word {
	return submit(c.client(1, n), n.name, r)
}

// askAll sends each request once to a node, all at the same time.
func (c *cluster) askAll(n *process, requests []chuteapi.Request) []word {
	var callers crowd
	for _, r := range requests {
		callers.call(func() word { return c.ask(n, r) })
	}

	return callers.all()
}

// resend sends a request as a balancer does that sends again elsewhere.
func (c *cluster) resend(r chuteapi.Request, nodes ...*process) word {
	return submit(c.client(len(nodes), nodes...), "balancer", r)
}

func submit(client *chuteapi.Client, node string, r chuteapi.Request) word {
	started := time.Now()
	answer, err := client.Submit(context.Background(), r)
	w := word{request: r, node: node, answer: answer, took: time.Since(started)}
	_ = errors.As(err, &w.failure)

	return w
}

// stream sends a request once to one node and calls onToken for each token.
func (c *cluster) stream(n *process, r chuteapi.Request, onToken func()) word {
	var text strings.Builder
	started := time.Now()
	answer, err := c.client(1, n).Stream(context.Background(), r, func(token chuteapi.Token) {
		text.WriteString(token.Text)
		if onToken != nil {
			onToken()
		}
	})
	w := word{request: r, node: n.name, answer: answer, took: time.Since(started), streamed: text.String()}
	_ = errors.As(err, &w.failure)

	return w
}

// crowd gathers the words of callers that call at the same time.
type crowd struct {
	wg    sync.WaitGroup
	mu    sync.Mutex
	words []word
}

// call lets one caller call beside the others.
func (w *crowd) call(ask func() word) {
	w.callAll(func(tell func(word)) { tell(ask()) })
}

// callAll lets one caller call several times beside the others.
func (w *crowd) callAll(ask func(tell func(word))) {
	w.wg.Go(func() {
		ask(func(said word) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.words = append(w.words, said)
		})
	})
}

// all waits for the last caller.
func (w *crowd) all() []word {
	w.wg.Wait()

	return w.words
}

// judgeWhole: an answer is the whole answer to its own request, streamed or not.
func judgeWhole(c *cluster, words []word) judgement {
	var j judgement
	for _, w := range words {
		if w.failure != nil {
			continue
		}
		text, output := wholeAnswer(c.C, c.cfg, w.request)
		switch {
		case text != "" && w.answer.Text != text:
			j.add("%s was answered with another text: %q for %q", w, w.answer.Text, text)
		case text == "" && string(w.answer.Output) != string(output):
			j.add("%s was answered %s", w, w.answer.Output)
		case w.streamed != "" && w.streamed != text:
			j.add("%s had the tokens %q for %q", w, w.streamed, text)
		}
	}

	return j
}

// judgeAllAnswered: every caller has its whole answer.
func judgeAllAnswered(c *cluster, words []word) judgement {
	j := judgeWhole(c, words)
	for _, w := range words {
		if w.failure != nil {
			j.add("%s", w)
		}
	}

	return j
}

// judgePosts: each request was posted at most once, exactly once where a caller has its answer, and never where the
// last that its callers were told is that nothing was run and it may safely be sent again.
func judgePosts(c *cluster, words []word) judgement {
	j := judgeWhole(c, words)
	told := map[string][]word{}
	for _, w := range words {
		if w.request.Pipeline == pipelineEnrolment || w.request.Pipeline == pipelineAlert {
			told[w.request.RequestID] = append(told[w.request.RequestID], w)
		}
	}
	for id, of := range told {
		n, last := c.ran(id, stagePost), of[len(of)-1]
		if n > 1 {
			j.add("%s was posted %d times", id, n)
		}
		if n == 0 && count(of, chuteapi.Answered) > 0 {
			j.add("%s was answered, but never posted", id)
		}
		if n > 0 && last.safeToRepeat() {
			j.add("%s was posted, but the last that its callers were told is %s", id, last)
		}
	}

	return j
}

// count counts the words that ended in an outcome.
func count(words []word, outcome chuteapi.Outcome) int {
	n := 0
	for _, w := range words {
		if w.outcome() == outcome {
			n++
		}
	}

	return n
}

// summary counts all outcomes.
func summary(words []word) string {
	return fmt.Sprintf("%d calls: %d Answered, %d NotRun, %d Failed, %d Unknown", len(words),
		count(words, chuteapi.Answered), count(words, chuteapi.NotRun),
		count(words, chuteapi.Failed), count(words, chuteapi.Unknown))
}
