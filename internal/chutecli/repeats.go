package chutecli

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// repeatSpan is the span over which a pool's repeats are compared with its first calls.
const repeatSpan = 10 * time.Second

// poolRepeats is what a pool got once more, from all nodes whose logs were read.
type poolRepeats struct {
	Pool    string
	First   int
	Repeats int
	// Refused counts the repeats that were not sent for want of budget.
	Refused int
	// Peak is the largest number of repeats in any ten seconds, PeakFirst the first calls
	// in these, and PeakAt when they began.
	Peak      int
	PeakFirst int
	PeakAt    time.Time
}

// repeatTally collects one pool's calls with the times of the log, which tell seconds.
type repeatTally struct {
	first   []time.Time
	repeats []time.Time
	refused int
}

// repeatsOf counts first calls and repeats by pool; pools without repeats are left out.
func repeatsOf(stories map[string][]logLine) []poolRepeats {
	tallies := map[string]*repeatTally{}
	for _, lines := range stories {
		for _, line := range lines {
			t := tallies[line.Pool]
			if t == nil {
				t = &repeatTally{}
				tallies[line.Pool] = t
			}
			t.add(line)
		}
	}
	var all []poolRepeats
	for pool, t := range tallies {
		if len(t.repeats) > 0 || t.refused > 0 {
			all = append(all, t.result(pool))
		}
	}
	slices.SortFunc(all, func(a, b poolRepeats) int { return cmp.Compare(a.Pool, b.Pool) })

	return all
}

// add takes in one line.
func (t *repeatTally) add(line logLine) {
	switch {
	case line.Step == "repeat refused":
		t.refused++
	case line.Step == "sent" && line.RepeatOf != "":
		t.repeats = append(t.repeats, line.Time)
	case line.Step == "sent" && line.Attempt == 1:
		t.first = append(t.first, line.Time)
	}
}

// result finds the ten seconds with the most repeats.
func (t *repeatTally) result(pool string) poolRepeats {
	slices.SortFunc(t.repeats, time.Time.Compare)
	r := poolRepeats{Pool: pool, First: len(t.first), Repeats: len(t.repeats), Refused: t.refused}
	oldest := 0
	for n, at := range t.repeats {
		for at.Sub(t.repeats[oldest]) >= repeatSpan {
			oldest++
		}
		if n-oldest+1 > r.Peak {
			r.Peak, r.PeakAt = n-oldest+1, t.repeats[oldest]
		}
	}
	for _, at := range t.first {
		if since := at.Sub(r.PeakAt); since >= 0 && since < repeatSpan {
			r.PeakFirst++
		}
	}

	return r
}

func (s session) printRepeats(all []poolRepeats) {
	if len(all) == 0 {
		return
	}
	s.line("")
	rows := [][]string{{"POOL", "FIRST CALLS", "REPEATS", "REFUSED", "MOST IN 10 S", "FIRST CALLS THEN", "FROM"}}
	for _, r := range all {
		rows = append(rows, []string{
			r.Pool, strconv.Itoa(r.First), strconv.Itoa(r.Repeats), strconv.Itoa(r.Refused),
			strconv.Itoa(r.Peak), strconv.Itoa(r.PeakFirst), r.PeakAt.Format(time.TimeOnly),
		})
	}
	s.columns(rows)
}
