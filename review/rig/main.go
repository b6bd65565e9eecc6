package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

func readAll(r *http.Response) ([]byte, error) {
	defer func() { _ = r.Body.Close() }()

	return io.ReadAll(r.Body)
}

// cases maps the name of a case to what plays it; it returns true if the rule was broken.
var cases = map[string]func(g *rig) bool{
	"path":     playPath,
	"route":    playRoute,
	"extra":    playExtra,
	"leave":    playLeave,
	"part":     playPart,
	"settings": playSettings,
}

func main() {
	os.Exit(play())
}

// play plays the case that the first argument names; the second is the program, the third the file for the record.
func play() (code int) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "rig CASE PROGRAM RECORD")

		return exitCannot
	}
	record, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return exitCannot
	}
	defer func() { _ = record.Close() }()
	folder, err := os.MkdirTemp("", "review-"+os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return exitCannot
	}
	program, err := filepath.Abs(os.Args[2])
	if err != nil {
		return exitCannot
	}
	g := &rig{program: program, folder: folder, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record, store: newStore()}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stopped
		g.end()
		os.Exit(exitCannot)
	}()
	defer func() {
		g.end()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(folder)
		} else {
			fmt.Println(folder)
		}
		switch problem := recover().(type) {
		case nil:
		case cannot:
			g.note("the case can't run: %s", problem.reason)
			code = exitCannot
		default:
			panic(problem)
		}
	}()
	g.note("case %s, trouble %t", os.Args[1], g.trouble)
	if cases[os.Args[1]](g) {
		g.note("the rule was BROKEN")

		return exitBroken
	}
	g.note("the rule held")

	return exitHeld
}
