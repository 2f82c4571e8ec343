// Command demo starts two entry daemons and the stand-ins on loopback, sends queries while backend servers are
// killed and drained, shows a profile change in force, and stops everything. It exits 1 if an answer broke a
// promise.
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
	startTimeout = 10 * time.Second
	// inForceTimeout is the bound for a configuration change to be in force everywhere.
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
	fmt.Println("demo passed: no answer broke a promise")
}

func run(bin string) error {
	dir, err := os.MkdirTemp("", "chivemill-demo")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	f := &fleet{dir: dir, bin: bin}
	defer f.killAll()
	step("start %d shards with %d replicas each, the platform's stand-in and %d entry daemons", shards, replicas, entries)
	if err := f.start(); err != nil {
		return err
	}
	c := &checker{fleet: f}
	if err := c.waitReady(); err != nil {
		return err
	}
	for _, s := range []func(*fleet, *checker) error{configure, crash, drainBackend, change} {
		if err := s(f, c); err != nil {
			return err
		}
	}
	step("stop everything with SIGTERM")
	if err := f.stopAll(); err != nil {
		return err
	}
	fmt.Printf("  %d answers, %d partial, 0 broken\n", c.answers, c.partial)
	return nil
}

func configure(f *fleet, c *checker) error {
	step("apply a profile and bind the service")
	if err := f.ctl("profile", "apply", "demo/profile-tail.yaml"); err != nil {
		return err
	}
	if err := f.ctl("service", "bind", service, "gravura-tail"); err != nil {
		return err
	}
	if err := c.waitInForce("gravura-tail", 1); err != nil {
		return err
	}
	if err := c.waitComplete(); err != nil {
		return err
	}
	return c.query("all replicas serve", 4)
}

func crash(f *fleet, c *checker) error {
	step("kill backend server %s-0-0", service)
	f.backends[service+"-0-0"].kill()
	return c.query("one replica was killed", 12)
}

func drainBackend(f *fleet, c *checker) error {
	step("drain backend server %s-1-0", service)
	if err := f.backends[service+"-1-0"].Signal(syscall.SIGTERM); err != nil {
		return eris.Wrap(err, "drain")
	}
	return c.query("one replica drains", 12)
}

func change(f *fleet, c *checker) error {
	step("change the profile")
	before, err := c.revisions("gravura-tail")
	if err != nil {
		return err
	}
	if err := f.ctl("profile", "apply", "demo/profile-tail-2.yaml"); err != nil {
		return err
	}
	if err := c.waitInForce("gravura-tail", before[0]+1); err != nil {
		return err
	}
	if err := c.waitMembers(); err != nil {
		return err
	}
	if err := f.ctl(f.withEntries("status")...); err != nil {
		return err
	}
	return c.query("the changed profile is in force", 4)
}

func step(format string, args ...any) {
	fmt.Printf("\n== "+format+"\n", args...)
}

func indent(s string) string {
	if s == "" {
		return ""
	}
	return "  " + strings.ReplaceAll(strings.TrimRight(s, "\n"), "\n", "\n  ") + "\n"
}
