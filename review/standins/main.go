// Command standins plays the stand-ins of a case of the review: the platform's store,
// upstreams and clients. It starts the project's daemons as separate processes, on loopback
// addresses and the real clock.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each file of a case adds its own.
var cases = make(map[string]func(e *environment) error)

// environment is what a case needs to run.
type environment struct {
	record *record
	// root is the repository's folder.
	root string
	// trouble is false if the case is to run without its disruption.
	trouble bool
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, path string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if _, err := os.Stat(filepath.Join(root, "target", "lycheehead")); err != nil {
		fmt.Fprintln(os.Stderr, "the program isn't built:", err)
		return exitNotRun
	}
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	e := &environment{record: r, root: root, trouble: os.Getenv("TROUBLE") != "0"}
	if err := play(e); err != nil {
		r.printf("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		return exitNotRun
	}
	if n := r.breachCount(); n > 0 {
		fmt.Printf("the rule was broken %d times; the first: %s\n", n, r.breaches[0])
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
