package chuteproof

import (
	"fmt"
	"strings"

	"azurechute.example/azurechute/internal/chuterequest"
)

// judgement is what is wrong with a world's end; empty means nothing is.
type judgement []string

func (j *judgement) add(format string, args ...any) {
	*j = append(*j, fmt.Sprintf(format, args...))
}

// rightOutput is the whole answer of a request: its own chain of stages and nothing else.
func rightOutput(key chuterequest.Key) string {
	c := call{key: key}
	for stage := range worldStages {
		c.stage = stage
		c.context = c.output()
	}

	return c.context
}

// judgeOutputs: every answer is the whole answer to its own request.
func judgeOutputs(w *world) judgement {
	var j judgement
	for _, t := range w.tolds {
		if t.outcome.Kind == chuterequest.OutcomeAnswered && t.output != rightOutput(t.key) {
			j.add("%s was answered %q", t.key, t.output)
		}
	}

	return j
}

// judgeOneAnswer: each caller of a node that lives is told exactly one outcome.
func judgeOneAnswer(w *world) judgement {
	var j judgement
	for _, s := range w.submitted {
		n := 0
		for _, t := range w.tolds {
			if t.node == s.node && t.handle == s.handle {
				n++
			}
		}
		if n != 1 && !w.dead[s.node] {
			j.add("%s at node %d was told %d outcomes", s.key, s.node, n)
		}
	}

	return j
}

// judgeAtMostOnce: no stage of an unrepeatable request ran twice, whoever ran it.
func judgeAtMostOnce(w *world) judgement {
	var j judgement
	ran := map[string]int{}
	for _, e := range w.executions {
		if e.call.unrepeatable {
			ran[fmt.Sprintf("%s stage %d", e.call.key, e.call.stage)]++
		}
	}
	for what, n := range ran {
		if n > 1 {
			j.add("%s ran %d times", what, n)
		}
	}

	return j
}

// judgeNotRun: of a submission that was told NotRun nothing ran, before or
// after, and of one that was told it may safely be repeated nothing unrepeatable.
func judgeNotRun(w *world) judgement {
	var j judgement
	for _, t := range w.tolds {
		for _, e := range w.executions {
			if e.call.node != t.node || e.call.handle != t.handle {
				continue
			}
			if t.outcome.Kind == chuterequest.OutcomeNotRun {
				j.add("%s was told NotRun, but stage %d ran", t.key, e.call.stage)
			}
			if t.outcome.SafeToRepeat && e.call.unrepeatable {
				j.add("%s was told SafeToRepeat, but stage %d ran", t.key, e.call.stage)
			}
		}
	}

	return j
}

// judgeAtOnce: an end without an answer is told when the last word came, not held back.
func judgeAtOnce(w *world) judgement {
	var j judgement
	for _, t := range w.tolds {
		last, ok := w.lastWord[[2]uint64{uint64(t.node), t.handle}]
		if t.outcome.Kind == chuterequest.OutcomeAnswered || !ok {
			continue
		}
		if held := t.at.Sub(last); held > worldLatency {
			j.add("%s was told %s %v after it was decided", t.key, t.outcome.Kind, held)
		}
	}

	return j
}

func (j judgement) String() string {
	return strings.Join(j[:min(len(j), 5)], "; ")
}
