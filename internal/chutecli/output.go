package chutecli

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/mattn/go-isatty"
)

// print writes a result as JSON, or else by the text function.
func (s session) print(result any, text func()) error {
	if !s.json {
		text()

		return nil
	}
	enc := json.NewEncoder(s.Stdout)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")

	return enc.Encode(result)
}

// line writes a line of a textual result.
func (s session) line(format string, args ...any) {
	fmt.Fprintf(s.Stdout, format+"\n", args...)
}

// columns writes rows of a textual result, aligned.
func (s session) columns(rows [][]string) {
	w := tabwriter.NewWriter(s.Stdout, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
}

// progress tells a person at a terminal what is under way; scripts and logs see nothing of it.
func (s session) progress(format string, args ...any) {
	file, ok := s.Stderr.(*os.File)
	if ok && isatty.IsTerminal(file.Fd()) {
		fmt.Fprintf(s.Stderr, format+"...\n", args...)
	}
}
