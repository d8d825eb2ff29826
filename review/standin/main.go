// Command standin plays the cases of the review. It starts the gateways as separate processes on loopback addresses; the store, the runners, the
// clients and the platform that stops processes are stand-ins of its own.
//
// Usage: standin CASE BINARY RECORD. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
// environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by name. Each registers itself.
var cases = map[string]func(f *fleet, trouble bool) error{}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE BINARY RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, binary, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	f, err := newFleet(r, binary)
	if err == nil {
		go f.closeEarly()
		err = cases[name](f, os.Getenv("TROUBLE") != "0")
		f.close()
	}
	if err != nil {
		r.log("the case could not run: %v", err)
	}
	broken := r.close()
	for i, text := range r.broken {
		if i < 5 {
			fmt.Println("broken:", text)
		}
	}
	fmt.Printf("%s: %d breaches, error: %v\n", name, broken, err)
	switch {
	case err != nil:
		return 2
	case broken > 0:
		return 1
	default:
		return 0
	}
}

// maxTime is the longest time that a case may take.
const maxTime = 110 * time.Second

// closeEarly ends the processes and exits if the case is interrupted or takes too long.
func (f *fleet) closeEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(maxTime):
	}
	f.close()
	f.record.close()
	os.Exit(2)
}
