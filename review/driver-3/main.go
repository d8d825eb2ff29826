// Command driver-3 plays the scripts of the third review: it starts gateways as processes and stands in for the store, the runners and the clients.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a script.
const (
	held        = 0
	broken      = 1
	couldNotRun = 2
)

// cases are the cases by name. trouble is false if the disruption is left out.
var cases = map[string]func(l *lab, trouble bool) (code int, err error){
	"revoked-key-after-restore": revokedKeyAfterRestore,
	"crashing-part":             crashingPartRefusesSoundRequests,
	"grace-raised":              graceRaised,
	"crashing-query":            crashingQuery,
	"crashing-request":          crashingRequest,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver-3 CASE RECORD")
		os.Exit(couldNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, record string) int {
	l, err := newLab(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer l.close()
	code, err := cases[name](l, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		l.note("could not run: %v", err)
		return couldNotRun
	}
	l.note("result %d", code)
	return code
}
