// Command demo starts two entry daemons and the stand-ins on loopback addresses, sends queries while backend servers
// are killed and drained, changes a profile and waits until it is in force everywhere, and stops all processes. It
// exits with status 1 if a step fails or an answer is wrong.
package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// startTimeout limits each wait until the daemons are ready, give complete answers or know each other.
	startTimeout = 10 * time.Second
	// inForceTimeout is the time within which a configuration change must be in force on every daemon.
	inForceTimeout = 11 * time.Second
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: demo BINARY-FOLDER")
		os.Exit(2)
	}
	if err := run(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
	fmt.Println("demo passed: all answers were correct")
}

// run runs the demonstration with the binaries in bin.
func run(bin string) error {
	dir, err := os.MkdirTemp("", "chivemill-demo")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	f := &fleet{dir: dir, bin: bin}
	defer f.killAll()
	printStep("start %d shards with %d replicas each, the stand-in store and %d entry daemons", shards, replicas, entries)
	if err := f.start(); err != nil {
		return err
	}
	c := &checker{fleet: f}
	if err := c.waitReady(); err != nil {
		return err
	}
	for _, runStep := range []func(*fleet, *checker) error{configure, killBackend, drainBackend, changeProfile} {
		if err := runStep(f, c); err != nil {
			return err
		}
	}
	printStep("stop all processes with SIGTERM")
	if err := f.stopAll(); err != nil {
		return err
	}
	fmt.Printf("  %d answers, %d partial, 0 wrong\n", c.answers, c.partial)
	return nil
}

// configure stores a profile, binds the service to it and waits for complete answers.
func configure(f *fleet, c *checker) error {
	printStep("apply a profile and bind the service")
	if err := f.runCtl("profile", "apply", "demo/profile-tail.yaml"); err != nil {
		return err
	}
	if err := f.runCtl("service", "bind", service, "gravura-tail"); err != nil {
		return err
	}
	if err := c.waitInForce("gravura-tail", 1); err != nil {
		return err
	}
	if err := c.waitComplete(); err != nil {
		return err
	}
	return c.sendQueries("all replicas serve", 4)
}

func killBackend(f *fleet, c *checker) error {
	printStep("kill backend server %s-0-0", service)
	f.backends[service+"-0-0"].kill()
	return c.sendQueries("one replica was killed", 12)
}

func drainBackend(f *fleet, c *checker) error {
	printStep("drain backend server %s-1-0", service)
	if err := f.backends[service+"-1-0"].Signal(syscall.SIGTERM); err != nil {
		return eris.Wrap(err, "send SIGTERM to the backend server")
	}
	return c.sendQueries("one replica drains", 12)
}

func changeProfile(f *fleet, c *checker) error {
	printStep("change the profile")
	before, err := c.revisions("gravura-tail")
	if err != nil {
		return err
	}
	if err := f.runCtl("profile", "apply", "demo/profile-tail-2.yaml"); err != nil {
		return err
	}
	if err := c.waitInForce("gravura-tail", before[0]+1); err != nil {
		return err
	}
	if err := c.waitMembers(); err != nil {
		return err
	}
	if err := f.runCtl(f.withEntryFlags("status")...); err != nil {
		return err
	}
	return c.sendQueries("the changed profile is in force", 4)
}

// printStep prints the heading of a step.
func printStep(format string, args ...any) {
	fmt.Printf("\n== "+format+"\n", args...)
}

// indent indents the lines of a command's output.
func indent(s string) string {
	if s == "" {
		return ""
	}
	return "  " + strings.ReplaceAll(strings.TrimRight(s, "\n"), "\n", "\n  ") + "\n"
}
