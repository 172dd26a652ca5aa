// Command rig runs one case of the review: a small deployment on loopback with stand-ins for everything outside the hosts. It exits
// with 1 if the rule of the case was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 it leaves the disruption
// out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxDuration bounds one run.
const maxDuration = 118 * time.Second

// scenario runs a case and reports whether its rule was broken.
type scenario struct {
	specs []hostSpec
	run   func(r *rig, hasTrouble bool) (isBroken bool, err error)
}

func main() {
	scenarios := map[string]scenario{
		"stop":  {place(), runStop},
		"batch": {place(), runBatch},
		"limit": {place(), runLimit},
		"first": {place(), runFirstEvent},
		"kill":  {place(), runKill},
	}
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig SCENARIO RECORD")
		os.Exit(2)
	}
	s, known := scenarios[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown scenario")
		os.Exit(2)
	}
	r, err := newRig(defaultProgram(), os.Args[2], s.specs)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxDuration):
			r.say("the run takes too long")
		}
		r.close()
		os.Exit(2)
	}()
	isBroken, err := s.run(r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.say("the case could not run: %v", err)
	}
	r.close()
	switch {
	case err != nil:
		os.Exit(2)
	case isBroken:
		os.Exit(1)
	}
}
