package chutecanary

import (
	"fmt"
	"math"
	"time"
)

const (
	// alarmScore is the evidence, as the logarithm of a likelihood ratio, at which a version counts
	// as bad, and acceptScore the evidence at which it counts as good. With the former a good
	// version is condemned once in e^12 answers, with the latter a bad one is accepted once in 150.
	alarmScore  = 12.0
	acceptScore = 5.0
	// maxAcceptScore bounds the evidence for a good version, so that one which turns bad is noticed
	// after a few answers.
	maxAcceptScore = 9.0
	// maxDoubtScore bounds the evidence that has to be outweighed before a version is accepted.
	maxDoubtScore = 4.0
	// alarmExcess and acceptExcess are the shares of the calls without failure that a bad version
	// fails in addition: the lowest to be noticed, and the lowest that must not be accepted.
	alarmExcess  = 0.2
	acceptExcess = 0.3
	// minFailureRate and minSlowRate are the least rates that are expected of the old versions.
	minFailureRate = 0.02
	minSlowRate    = 0.05
	maxRate        = 0.7
	// priorAnswers is the number of answers, one of them a failure, that the old versions are taken
	// to have given at first.
	priorAnswers = 20
	// oldHalfLife is the half-life of the counts of the old versions: what fails both at a time is
	// not held against the new one.
	oldHalfLife = 4 * time.Second
	// slowQuantile is the share of the old versions' answers that are faster than the slow ones. An
	// answer of the new version is slow if it takes slowSteps steps more, that is twice as long.
	slowQuantile = 0.9
	slowSteps    = 2
	// minOldAnswers is the number of answers of the old versions from which times are compared.
	minOldAnswers = 20
)

// score is the evidence on one kind of event, such as failures.
type score struct {
	// alarm is the evidence against the version, at least 0. accept is that against accepting it,
	// negative if it speaks for the version.
	alarm  float64
	accept float64
	// lastEvidence is what the last answers added to the evidence against it.
	lastEvidence float64
}

// withEvidence adds evidence against the version that was found by other scores.
func (s score) withEvidence(evidence float64) score {
	s.alarm = max(0, s.alarm+evidence)

	return s
}

// with adds answers, some of which are events, where the old versions have a rate of events.
func (s score) with(answers, events int, rate float64) score {
	add := func(excess float64) float64 {
		bad := rate + excess*(1-rate)

		return float64(events)*math.Log(bad/rate) + float64(answers-events)*math.Log((1-bad)/(1-rate))
	}
	s.lastEvidence = add(alarmExcess)
	s.alarm = max(0, s.alarm+s.lastEvidence)
	s.accept = min(maxDoubtScore, max(-maxAcceptScore, s.accept+add(acceptExcess)))

	return s
}

// answersToAccept returns the number of answers after which a version as good as the old ones, which
// have a rate of events, is accepted more often than not.
func answersToAccept(rate float64) float64 {
	bad := rate + acceptExcess*(1-rate)
	perAnswer := -rate*math.Log(bad/rate) - (1-rate)*math.Log((1-bad)/(1-rate))

	return acceptScore / perAnswer
}

func (s score) isAccepted() bool {
	return s.accept <= -acceptScore
}

// pipelineJudge compares the versions by the answers to one pipeline.
type pipelineJudge struct {
	// oldAnswers, oldFailures and oldTimes are the decayed counts of the old versions as of oldAt.
	oldAnswers  float64
	oldFailures float64
	oldTimes    [timeSteps]float64
	oldAt       time.Time
	failures    score
	slowness    score
	newAnswers  int
	newFailures int
}

func (j pipelineJudge) with(added Pair, now time.Time) pipelineJudge {
	j = j.withOld(added.Old, now)
	answers := 0
	for _, count := range added.New.Times {
		answers += count
	}
	j.newAnswers += answers + added.New.Failures
	j.newFailures += added.New.Failures
	j.failures = j.failures.with(answers+added.New.Failures, added.New.Failures, j.failureRate())
	j.slowness.lastEvidence = 0
	if limit, rate, ok := j.slowLimit(); ok {
		slow := 0
		for step, count := range added.New.Times {
			if step > limit {
				slow += count
			}
		}
		j.slowness = j.slowness.with(answers, slow, rate)
	}

	return j
}

func (j pipelineJudge) withOld(added Counts, now time.Time) pipelineJudge {
	if elapsed := now.Sub(j.oldAt); elapsed > 0 {
		decay := math.Exp2(-float64(elapsed) / float64(oldHalfLife))
		j.oldAnswers *= decay
		j.oldFailures *= decay
		for step := range j.oldTimes {
			j.oldTimes[step] *= decay
		}
		j.oldAt = now
	}
	for step, count := range added.Times {
		j.oldTimes[min(step, timeSteps-1)] += float64(count)
		j.oldAnswers += float64(count)
	}
	j.oldAnswers += float64(added.Failures)
	j.oldFailures += float64(added.Failures)

	return j
}

// failureRate returns the rate of failures to expect of a version as good as the old ones: the
// observed rate plus its standard error.
func (j pipelineJudge) failureRate() float64 {
	answers := j.oldAnswers + priorAnswers
	rate := (j.oldFailures + 1) / answers

	return min(maxRate, max(minFailureRate, rate+math.Sqrt(rate*(1-rate)/answers)))
}

// slowLimit returns the step above which an answer is slow, and the rate of slow answers to expect;
// false if too little is known of the old versions.
func (j pipelineJudge) slowLimit() (int, float64, bool) {
	answered := j.oldAnswers - j.oldFailures
	if answered < minOldAnswers {
		return 0, 0, false
	}
	below, limit := 0.0, 0
	for ; limit < timeSteps-1; limit++ {
		if below += j.oldTimes[limit]; below >= slowQuantile*answered {
			break
		}
	}
	limit += slowSteps
	slow := 0.0
	for step := limit + 1; step < timeSteps; step++ {
		slow += j.oldTimes[step]
	}

	return limit, min(maxRate, max(minSlowRate, (slow+1)/(answered+priorAnswers))), true
}

// alarm returns why the version counts as bad; empty if it does not.
func (j pipelineJudge) alarm(pipeline string) string {
	switch {
	case j.failures.alarm >= alarmScore:
		return fmt.Sprintf("pipeline %q: %d of %d answers are failures, %.2f are expected",
			pipeline, j.newFailures, j.newAnswers, j.failureRate())
	case j.slowness.alarm >= alarmScore:
		return fmt.Sprintf("pipeline %q: answers begin twice as late as usual or later, of %d answers", pipeline, j.newAnswers)
	default:
		return ""
	}
}

// lack describes the evidence that is too little to accept the version.
func (j pipelineJudge) lack(pipeline string) string {
	return fmt.Sprintf("pipeline %q: %d answers with %d failures are too little evidence, %.1f on failures and %.1f on times of %.1f",
		pipeline, j.newAnswers, j.newFailures, -j.failures.accept, -j.slowness.accept, acceptScore)
}

// isAccepted reports whether the version has proven as good as the old ones.
func (j pipelineJudge) isAccepted() bool {
	_, _, timed := j.slowLimit()

	return j.failures.isAccepted() && (!timed || j.slowness.isAccepted())
}
