package chutecli

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxLogLine bounds one line of a log.
const maxLogLine = 1 << 20

type explainCommand struct {
	Request string   `arg:"" help:"The request's id." name:"request-id"`
	Files   []string `arg:"" help:"Log files of any number of nodes; standard input when left out." optional:"" type:"existingfile"`
}

// Help returns the command's detailed help.
func (explainCommand) Help() string {
	return `Reads log lines of any number of nodes and prints what was decided on one request,
in order, and why it ended as it did. Lines may have something in front of their JSON.

Examples:
  azurechute explain 9c41d07be2a35f68 entry-*.log
  cat entry-*.log | azurechute explain 9c41d07be2a35f68 --output json`
}

// logLine is one decision on a request as nodes log it.
type logLine struct {
	Request string `json:",omitempty"`
	Node    string
	Step    string `json:"message"`
	// Time is the node's time of day, to the second.
	Time      time.Time `json:"time,omitzero"`
	Workspace string    `json:",omitempty"`
	Pipeline  string    `json:",omitempty"`
	Pool      string    `json:",omitempty"`
	Stage     *int      `json:",omitempty"`
	Upstream  string    `json:",omitempty"`
	Peer      string    `json:",omitempty"`
	At        string    `json:",omitempty"`
	Reason    string    `json:",omitempty"`
	// RepeatOf is how the call before ended, Budget the counts that allowed or refused a repeat.
	RepeatOf string        `json:",omitempty"`
	Budget   *budgetCounts `json:",omitempty"`
	Attempt  int           `json:",omitempty"`
	WaitMs   int64         `json:",omitempty"`
	Parts    int           `json:",omitempty"`
	AimMs    int64         `json:",omitempty"`
	AgeMs    int64
	LeftMs   int64
	Version  uint64 `json:",omitempty"`
	// ConfigAgeMs is how long before a refusal the configuration was known to be the newest
	// one, From the node that it was heard from; absent for the store.
	ConfigAgeMs *int64 `json:",omitempty"`
	From        string `json:",omitempty"`
	// Resumes is the request that began the stream which this one takes up, UpstreamVersion its software version
	// or that of the upstream of a call, RecordAgeMs how long From had known it; Known is false if no node did.
	Resumes         string `json:",omitempty"`
	UpstreamVersion string `json:",omitempty"`
	RecordAgeMs     int64  `json:",omitempty"`
	Known           *bool  `json:",omitempty"`
	// Leaving, RestMs and Unreadable are what an upstream says about itself.
	Leaving    bool   `json:",omitempty"`
	RestMs     int64  `json:",omitempty"`
	Unreadable string `json:",omitempty"`
}

// adopted is the message of a configuration that a node puts in force.
const adopted = "configuration in force"

// budgetCounts are a pool's retry budget at one node.
type budgetCounts struct {
	First int
	Spent int
	Left  int
	// Slack is the node's part of the slack, which is divided among Nodes.
	Slack int
	Nodes int
}

// reason is the line's reason with the counts that decided it.
func (l logLine) reason() string {
	if l.ConfigAgeMs != nil {
		return fmt.Sprintf("%s; by version %d, heard from %s, confirmed %d ms before",
			l.Reason, l.Version, cmp.Or(l.From, "the store"), *l.ConfigAgeMs)
	}
	if l.Known != nil {
		return l.takeUp()
	}
	if l.Budget == nil {
		return l.Reason
	}
	counts := fmt.Sprintf("repeat after %s: %d left, %d sent for %d first calls in the window, %d of the slack, divided among %d nodes",
		l.RepeatOf, l.Budget.Left, l.Budget.Spent, l.Budget.First, l.Budget.Slack, l.Budget.Nodes)
	if l.Reason == "" {
		return counts
	}

	return l.Reason + "; " + counts
}

// takeUp tells what a node knew of the stream that a request takes up.
func (l logLine) takeUp() string {
	stream := "a stream that it does not name"
	if l.Resumes != "" {
		stream = "the stream of " + l.Resumes
	}
	if !*l.Known {
		return "takes up " + stream + ", whose version no node knew that was asked"
	}

	return fmt.Sprintf("takes up %s, begun at version %s, known from %s for %d ms", stream, l.UpstreamVersion, cmp.Or(l.From, "itself"), l.RecordAgeMs)
}

// explanation is the JSON result of the command.
type explanation struct {
	Request string
	Lines   []logLine
	// Cause is one sentence.
	Cause string
	// TakenUpBy are the requests that took up the stream that this one began, in the order of the logs.
	TakenUpBy []string `json:",omitempty"`
}

// Run prints one request's story.
func (c explainCommand) Run(ctx context.Context, s session) error {
	var lines, adoptions []logLine
	var takenUpBy []string
	wanted := [][]byte{[]byte(strconv.Quote(c.Request)), []byte(strconv.Quote(adopted))}
	for _, open := range sources(s, c.Files) {
		err := readLog(ctx, open, wanted, func(line logLine) {
			switch {
			case line.Request == c.Request:
				lines = append(lines, line)
			case line.Resumes == c.Request:
				takenUpBy = append(takenUpBy, line.Request)
			case line.Step == adopted:
				adoptions = append(adoptions, line)
			}
		})
		if err != nil {
			return err
		}
	}
	if len(lines) == 0 {
		return fmt.Errorf("no line of the logs names request %s; lines may have been left out, look for \"log lines left out\"", c.Request)
	}
	// One node decides on a request, by its own clock; a time of day that jumped
	// does not disturb the order.
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.AgeMs, b.AgeMs) })
	result := explanation{Request: c.Request, Lines: lines, Cause: causeOf(lines) + nextConfig(lines[len(lines)-1], adoptions), TakenUpBy: takenUpBy}

	return s.print(result, func() { s.printExplanation(result) })
}

// nextConfig says when a node that refused a request by its configuration heard of the next one.
func nextConfig(refusal logLine, adoptions []logLine) string {
	if refusal.ConfigAgeMs == nil {
		return ""
	}
	for _, a := range adoptions {
		if a.Node == refusal.Node && a.Version > refusal.Version && !a.Time.Before(refusal.Time) {
			return fmt.Sprintf("; version %d came into force there %v after that, to the second", a.Version, a.Time.Sub(refusal.Time))
		}
	}

	return "; no newer version came into force there in these logs"
}

// sources returns what to read: a function each that opens a file, or standard input.
func sources(s session, files []string) []func() (io.ReadCloser, error) {
	if len(files) == 0 {
		return []func() (io.ReadCloser, error){func() (io.ReadCloser, error) { return io.NopCloser(s.Stdin), nil }}
	}
	var sources []func() (io.ReadCloser, error)
	for _, name := range files {
		s.progress("reading %s", name)
		sources = append(sources, func() (io.ReadCloser, error) {
			return os.Open(name) //nolint:gosec // the operator names the file
		})
	}

	return sources
}

// causeOf says in one sentence how the request ended and what came before.
func causeOf(lines []logLine) string {
	last := lines[len(lines)-1]
	failures := map[string]int{}
	var order []string
	for _, line := range lines {
		if line.Step != "call failed" && line.Step != "stage not made" {
			continue
		}
		what := line.Step + " in pool " + line.Pool + " (" + line.Reason + ")"
		if failures[what] == 0 {
			order = append(order, what)
		}
		failures[what]++
	}
	var before []string
	for _, what := range order {
		before = append(before, fmt.Sprintf("%s, %d times", what, failures[what]))
	}
	end := fmt.Sprintf("%s after %d ms", last.Step, last.AgeMs)
	if last.Reason != "" {
		end += ": " + last.reason()
	}
	switch last.Step {
	case "answered", "answered with failure", "refused", "cancelled":
	default:
		end = fmt.Sprintf("no end is logged; the last step is %q after %d ms, so the node %s may have ended or been cut off", last.Step, last.AgeMs, last.Node)
	}
	if len(before) == 0 {
		return end
	}

	return end + "; before that: " + strings.Join(before, "; ")
}

func (s session) printExplanation(e explanation) {
	rows := [][]string{{"AGE", "LEFT", "NODE", "STEP", "POOL", "STAGE", "TO", "WAIT", "REASON"}}
	for _, line := range e.Lines {
		stage := ""
		if line.Stage != nil {
			stage = strconv.Itoa(*line.Stage)
		}
		wait := ""
		if line.WaitMs > 0 {
			wait = fmt.Sprint(line.WaitMs, " ms")
		}
		rows = append(rows, []string{
			fmt.Sprint(line.AgeMs, " ms"), fmt.Sprint(line.LeftMs, " ms"), line.Node, line.Step, line.Pool, stage,
			cmp.Or(line.Upstream, line.Peer), wait, line.reason(),
		})
	}
	s.columns(rows)
	s.line("")
	s.line("%s", e.Cause)
	if len(e.TakenUpBy) > 0 {
		s.line("its stream was taken up by %s", strings.Join(e.TakenUpBy, ", "))
	}
}
