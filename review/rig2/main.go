// Command rig plays the cases of the second review: it starts daemons with the command of the
// deploy file beside stand-ins for the platform's store, upstreams and clients, on loopback
// addresses.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	noCheck = 2
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "upstream" {
		runUpstream(os.Args[2:])
		return
	}
	cases := map[string]func(*fleet, bool) (int, error){"poison": poison, "stop": stop, "keys": keys, "evac": evac}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(noCheck)
	}
	f, err := newFleet(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(noCheck)
	}
	code, err := cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	if err != nil {
		f.note("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = noCheck
	}
	f.close()
	os.Exit(code)
}
