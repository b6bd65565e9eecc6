package chuteload

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

const tablePadding = 2

// Tabled is a report that can be written for people.
type Tabled interface {
	WriteTable(w io.Writer) error
}

// WriteTable writes the report for people.
func (r Report) WriteTable(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(out, "run %s, seed %d, %s, %.1f s\n", r.Run, r.Plan.Seed, r.Mode, r.Seconds)
	_, _ = fmt.Fprintln(out, "\tREQUESTS\tATTAINED\tANSWERED\tLATE\tNOT RUN\tFAILED\tUNKNOWN\tBROKEN\tWRONG\tP50 ms\tP95 ms\tP99 ms\tFIRST TOKEN P50\tP99\tREFUSED P99\tREFUSED LATE\t")
	writeRow(out, "all", r.All)

	for _, part := range []map[string]Group{r.Phases, r.Pipelines, r.Workspaces} {
		_, _ = fmt.Fprintln(out, "\t")

		for _, name := range slices.Sorted(maps.Keys(part)) {
			writeRow(out, name, part[name])
		}
	}

	if err := out.Flush(); err != nil {
		return err
	}

	_, _ = fmt.Fprintf(w, "sent late by p99 %.1f ms, not sent %d, unmeasured %d (wrong %d)\n",
		r.Lateness.P99Milliseconds, r.Skipped, r.Unmeasured, r.UnmeasuredWrong)

	return writeFindings(w, r.Findings)
}

func writeRow(w io.Writer, name string, g Group) {
	_, _ = fmt.Fprintf(w, "%s\t%d\t%.2f%%\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t\n",
		name, g.Requests, 100*g.Attainment, g.Answered, g.AnsweredLate, g.NotRun, g.Failed, g.Unknown, g.Incomplete, g.Wrong,
		g.Total.P50Milliseconds, g.Total.P95Milliseconds, g.Total.P99Milliseconds,
		g.FirstToken.P50Milliseconds, g.FirstToken.P99Milliseconds, g.Refusal.P99Milliseconds, g.RefusedLate)
}

func writeFindings(w io.Writer, findings []string) error {
	for _, finding := range findings {
		if _, err := fmt.Fprintln(w, finding); err != nil {
			return err
		}
	}

	return nil
}

// WriteTable writes the comparison for people.
func (r CompareReport) WriteTable(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(out, "\tCOUNT\tDIRECT P50 ms\tTHROUGH P50\tDIFFERENCE\tRATIO\tDIRECT P99 ms\tTHROUGH P99\tDIFFERENCE\tRATIO\t")

	if c := r.Closed; c != nil {
		writeSides(out, "one at a time, total", c.Total)
		writeSides(out, "one at a time, first token", c.FirstToken)
	}

	if f := r.FixedRate; f != nil {
		writeSides(out, fmt.Sprintf("%g a second, total", f.Rate), f.Total)
		writeSides(out, fmt.Sprintf("%g a second, first token", f.Rate), f.FirstToken)
		writeSides(out, fmt.Sprintf("%g a second, between tokens", f.Rate), f.BetweenTokens)
	}

	if err := out.Flush(); err != nil {
		return err
	}

	if c := r.Closed; c != nil {
		_, _ = fmt.Fprintf(w, "added by request: p50 %.3f ms, p95 %.3f ms, p99 %.3f ms; without a right answer: %v\n",
			c.Added.P50Milliseconds, c.Added.P95Milliseconds, c.Added.P99Milliseconds, c.Ended)
	}

	if f := r.FixedRate; f != nil {
		_, _ = fmt.Fprintf(w, "at the fixed rate without a right answer: %v\n", f.Ended)
	}

	return writeFindings(w, r.Findings)
}

func writeSides(w io.Writer, name string, s Sides) {
	_, _ = fmt.Fprintf(w, "%s\t%d/%d\t%.3f\t%.3f\t%+.3f\t%.3f\t%.3f\t%.3f\t%+.3f\t%.3f\t\n", name, s.Direct.Count, s.Through.Count,
		s.Direct.P50Milliseconds, s.Through.P50Milliseconds, s.DifferenceP50Milliseconds, s.RatioP50,
		s.Direct.P99Milliseconds, s.Through.P99Milliseconds, s.DifferenceP99Milliseconds, s.RatioP99)
}
