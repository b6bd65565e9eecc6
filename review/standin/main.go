// The program standin holds the stand-ins of the review's scripts: the platform's store, replicas and clients. The
// relays are the project's own program, started as separate processes.
package main

import (
	"fmt"
	"os"
)

// cases maps the name of a case to its function, which returns the exit code: 1 if the rule was broken, 0 if it held,
// 2 if the case could not run.
var cases = map[string]func(d *deployment, trouble bool) int{
	"replicas-gone": replicasGone,
	"bad-chunks":    badChunks,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	d, err := newDeployment(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	code := cases[os.Args[1]](d, os.Getenv("TROUBLE") != "0")
	d.end()
	fmt.Println("exit", code)
	os.Exit(code)
}
