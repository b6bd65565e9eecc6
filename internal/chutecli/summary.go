package chutecli

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

type summaryCommand struct {
	Files []string `arg:"" help:"Log files of any number of nodes; standard input when left out." optional:"" type:"existingfile"`
}

// Help returns the command's detailed help.
func (summaryCommand) Help() string {
	return `Reads log lines of any number of nodes and prints how their requests ended and why,
how long each step took, and what each workspace asked for and got: where requests are
lost, where they spend their time, which workspace is loud, and who suffers.

Examples:
  azurechute summary entry-*.log
  cat entry-*.log | azurechute summary --output json`
}

// endCount is how many requests of a pipeline ended in one way.
type endCount struct {
	Pipeline string
	// End is the last step; Cause is its reason without what is particular to one request.
	End   string
	Cause string `json:",omitempty"`
	Count int
}

// stepTime is how long one step of a pipeline's requests took.
type stepTime struct {
	Pipeline string
	// Step is "stage N in POOL", "before the call", "to the first event" or "to the end".
	Step  string
	Count int
	P50Ms int64
	P99Ms int64
}

// summary is the JSON result of the command.
type summary struct {
	Requests int
	Ends     []endCount
	Steps    []stepTime
	// Workspaces is sorted by requests, the most first.
	Workspaces []workspaceUse
	// Repeats is sorted by pool.
	Repeats []poolRepeats
	// Notices is sorted by pool and upstream.
	Notices []upstreamNotices `json:",omitempty"`
}

// Run prints the ends and step times of all requests in the logs.
func (c summaryCommand) Run(ctx context.Context, s session) error {
	stories := map[string][]logLine{}
	notices := map[string]upstreamNotices{}
	for _, open := range sources(s, c.Files) {
		err := readLog(ctx, open, nil, func(line logLine) {
			switch {
			case line.Request != "":
				stories[line.Request] = append(stories[line.Request], line)
			case line.Step == noticed:
				notices[line.Upstream] = notices[line.Upstream].withLine(line)
			}
		})
		if err != nil {
			return err
		}
	}
	result := summarize(stories)
	result.Notices = sortedNotices(notices)

	return s.print(result, func() { s.printSummary(result) })
}

// readLog hands each line to take that has one of the wanted texts, or every line if there is none.
func readLog(ctx context.Context, open func() (io.ReadCloser, error), wanted [][]byte, take func(line logLine)) error {
	isWanted := func(text []byte) bool {
		return len(wanted) == 0 || slices.ContainsFunc(wanted, func(w []byte) bool { return bytes.Contains(text, w) })
	}
	r, err := open()
	if err != nil {
		return err
	}
	defer func() { _ = r.Close() }()
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() && ctx.Err() == nil {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 || !isWanted(text) {
			continue
		}
		var line logLine
		// A line that was cut off, as at a kill, can't be read; the others can.
		if err := json.Unmarshal(text[start:], &line); err == nil {
			take(line)
		}
	}

	return scanner.Err()
}

// figures matches what is particular to one request in a reason.
var figures = regexp.MustCompile(`[0-9][0-9.]*(m?s|µs)?`)

// maxCause bounds a cause; what follows names addresses and the like.
const maxCause = 70

// causeOnly is a reason without what is particular to one request.
func causeOnly(reason string) string {
	text := figures.ReplaceAllString(reason, "N")

	return text[:min(len(text), maxCause)]
}

// summarize counts ends and measures steps.
func summarize(stories map[string][]logLine) summary {
	result := summary{Requests: len(stories)}
	ends := map[endCount]int{}
	steps := map[stepTime][]int64{}
	for _, lines := range stories {
		// One node decides on a request, by its own clock.
		slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.AgeMs, b.AgeMs) })
		last := lines[len(lines)-1]
		ends[endCount{Pipeline: last.Pipeline, End: last.Step, Cause: causeOnly(last.Reason)}]++
		for step, took := range stepsOf(lines) {
			steps[stepTime{Pipeline: last.Pipeline, Step: step}] = append(steps[stepTime{Pipeline: last.Pipeline, Step: step}], took)
		}
	}
	for end, n := range ends {
		end.Count = n
		result.Ends = append(result.Ends, end)
	}
	for step, times := range steps {
		slices.Sort(times)
		step.Count, step.P50Ms, step.P99Ms = len(times), quantile(times, 50), quantile(times, 99)
		result.Steps = append(result.Steps, step)
	}
	result.Workspaces = useOf(stories)
	result.Repeats = repeatsOf(stories)
	slices.SortFunc(result.Ends, func(a, b endCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Pipeline, b.Pipeline), cmp.Compare(a.End+a.Cause, b.End+b.Cause))
	})
	slices.SortFunc(result.Steps, func(a, b stepTime) int {
		return cmp.Or(cmp.Compare(a.Pipeline, b.Pipeline), cmp.Compare(a.Step, b.Step))
	})

	return result
}

// quantile returns the time that a percentage of sorted times does not exceed.
func quantile(sorted []int64, percent int) int64 {
	return sorted[(len(sorted)-1)*percent/100]
}

// stepsOf measures the steps of one request; of a step that was repeated the last one counts.
func stepsOf(lines []logLine) map[string]int64 {
	const (
		beforeCall   = "before the call"
		toFirstEvent = "to the first event"
		toEnd        = "to the end"
	)
	steps := map[string]int64{}
	asked := map[int]int64{}
	sent := int64(-1)
	for _, line := range lines {
		switch {
		case line.Step == "stage asked" && line.Stage != nil:
			asked[*line.Stage] = line.AgeMs
		case line.Step == "stage made" && line.Stage != nil:
			steps["stage "+strconv.Itoa(*line.Stage)+" in "+line.Pool] = line.AgeMs - asked[*line.Stage]
		case line.Step == "sent":
			sent = line.AgeMs
			steps[beforeCall] = sent
		case line.Step == "began" && sent >= 0:
			steps[toFirstEvent] = line.AgeMs - sent
		case strings.HasPrefix(line.Step, "answered") && sent >= 0:
			steps[toEnd] = line.AgeMs - sent
		}
	}

	return steps
}

// shownWorkspaces is how many workspaces the text has; the JSON has all.
const shownWorkspaces = 20

func (s session) printSummary(r summary) {
	s.line("%d requests", r.Requests)
	s.line("")
	rows := [][]string{{"COUNT", "PIPELINE", "END", "CAUSE"}}
	for _, e := range r.Ends {
		rows = append(rows, []string{strconv.Itoa(e.Count), e.Pipeline, e.End, e.Cause})
	}
	s.columns(rows)
	s.line("")
	rows = [][]string{{"PIPELINE", "STEP", "COUNT", "P50", "P99"}}
	for _, t := range r.Steps {
		rows = append(rows, []string{
			t.Pipeline, t.Step, strconv.Itoa(t.Count), fmt.Sprint(t.P50Ms, " ms"), fmt.Sprint(t.P99Ms, " ms"),
		})
	}
	s.columns(rows)
	s.line("")
	rows = [][]string{{"WORKSPACE", "REQUESTS", "ON TIME", "LATE", "REFUSED", "FAILED", "WAIT P50", "P99", "PARTS OF POOLS"}}
	for _, u := range r.Workspaces[:min(len(r.Workspaces), shownWorkspaces)] {
		rows = append(rows, u.row())
	}
	s.columns(rows)
	if more := len(r.Workspaces) - shownWorkspaces; more > 0 {
		s.line("and %d workspaces with fewer requests; --output json has them", more)
	}
	s.printRepeats(r.Repeats)
	s.printNotices(r.Notices)
}
