// Command review-standins runs the cases of an independent review: it starts edge daemons as processes, with stand-ins of the
// platform's store, replicas and clients on loopback addresses, and checks one rule of the users' pages.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 in the environment, the
// disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenarios holds the cases by name; the file of each case adds its own. A case returns whether the rule was broken.
var scenarios = make(map[string]func(d *deployment, trouble bool) (broken bool, err error))

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || scenarios[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standins CASE RECORD-FILE")
		return exitFailed
	}
	rec, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	d, err := newDeployment(rec)
	if err != nil {
		rec.add("case could not run: %v", err)
		return exitFailed
	}
	defer d.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		d.killDaemons()
		os.Exit(exitFailed)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, disruption %v", args[0], trouble)
	broken, err := scenarios[args[0]](d, trouble)
	switch {
	case err != nil:
		rec.add("case could not run: %v", err)
		return exitFailed
	case broken:
		rec.add("RESULT the rule was broken")
		return exitBroken
	default:
		rec.add("RESULT the rule held")
		return exitHeld
	}
}
