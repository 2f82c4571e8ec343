package main

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

const (
	calmFor      = 6 * time.Second
	storeDownFor = 6 * time.Second
	// beforeKill is the time from the start of the phase to the kill, killedFor the time until the restart.
	beforeKill = time.Second
	killedFor  = 3 * time.Second
	// stopTimeout bounds the wait for a process to end after SIGTERM.
	stopTimeout = 15 * time.Second
	// acceptedSlack is the time after a wave during which the cold replicas serve before the next wave.
	acceptedSlack = 300 * time.Millisecond
)

// phase is a part of a run with its own figures. disturb returns at its end.
type phase struct {
	name    string
	disturb func(ctx context.Context, r *run, m *measured) error
}

func allPhases() []phase {
	return []phase{
		{"calm", func(ctx context.Context, _ *run, _ *measured) error { return pause(ctx, calmFor) }},
		{"update-1", func(ctx context.Context, r *run, m *measured) error { return r.update(ctx, m, 1) }},
		{"update-2", func(ctx context.Context, r *run, m *measured) error { return r.update(ctx, m, 2) }},
		{"kill", func(ctx context.Context, r *run, m *measured) error { return r.kill(ctx, m) }},
		{"store-down", func(ctx context.Context, r *run, _ *measured) error { return r.storeOutage(ctx) }},
		{"entry-restart", func(ctx context.Context, r *run, m *measured) error { return r.restartEntries(ctx, m) }},
	}
}

func phaseNames() []string {
	var names []string
	for _, p := range allPhases() {
		names = append(names, p.name)
	}
	return names
}

func choosePhases(names []string) ([]phase, error) {
	var chosen []phase
next:
	for _, name := range names {
		for _, p := range allPhases() {
			if p.name == name {
				chosen = append(chosen, p)
				continue next
			}
		}
		return nil, eris.Errorf("--phases: %q is not one of %v", name, phaseNames())
	}
	return chosen, nil
}

// update restarts every backend server in waves. The next wave begins when every daemon sends work to all replicas.
func (r *run) update(ctx context.Context, m *measured, atOnce int) error {
	for i, wave := range waves(r.stand.plan.Backends, atOnce) {
		begin := time.Now()
		for _, name := range wave {
			if err := r.stand.processes.signal(name, syscall.SIGTERM); err != nil {
				return err
			}
		}
		if err := r.waitEnds(ctx, wave); err != nil {
			return err
		}
		ended := time.Since(begin)
		if err := r.stand.startBackends(ctx, wave); err != nil {
			return err
		}
		took, err := r.accepted(ctx, len(r.stand.plan.Backends))
		if err != nil {
			return err
		}
		m.notes = append(m.notes, fmt.Sprintf("wave %d: %d replicas, all ended %s after SIGTERM, accepted by every daemon %s after the last start",
			i+1, len(wave), ended.Round(10*time.Millisecond), took.Round(10*time.Millisecond)))
		if err := pause(ctx, acceptedSlack); err != nil {
			return err
		}
	}
	return nil
}

// waitEnds waits for planned stops, which have to exit with status 0.
func (r *run) waitEnds(ctx context.Context, names []string) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, name := range names {
		group.Go(func() error {
			status, err := r.stand.processes.wait(ctx, name, stopTimeout)
			if err == nil && status != 0 {
				err = eris.Errorf("%s exited with status %d after SIGTERM", name, status)
			}
			return err
		})
	}
	return group.Wait()
}

// kill ends one replica of each shard without notice, and starts it again later.
func (r *run) kill(ctx context.Context, m *measured) error {
	if err := pause(ctx, beforeKill); err != nil {
		return err
	}
	names := firstOfShards(r.stand.plan.Backends)
	killed := time.Now()
	for _, name := range names {
		if err := r.stand.processes.signal(name, syscall.SIGKILL); err != nil {
			return err
		}
	}
	took, err := r.accepted(ctx, len(r.stand.plan.Backends)-len(names))
	if err != nil {
		return err
	}
	m.notes = append(m.notes, fmt.Sprintf("%d replicas killed at %s, no daemon counts them as accepting work after %s",
		len(names), killed.Format("15:04:05.000"), took.Round(10*time.Millisecond)))
	if err := pause(ctx, time.Until(killed.Add(killedFor))); err != nil {
		return err
	}
	if err := r.stand.startBackends(ctx, names); err != nil {
		return err
	}
	_, err = r.accepted(ctx, len(r.stand.plan.Backends))
	if err != nil {
		return err
	}
	return pause(ctx, time.Second)
}

func (r *run) storeOutage(ctx context.Context) error {
	if err := r.stand.storeDown(true); err != nil {
		return err
	}
	if err := pause(ctx, storeDownFor); err != nil {
		return err
	}
	return r.stand.storeDown(false)
}

// restartEntries stops and starts each entry daemon in turn. The next one follows when the balancer sends to the
// restarted one again.
func (r *run) restartEntries(ctx context.Context, m *measured) error {
	for i, e := range r.stand.plan.Entries {
		begin := time.Now()
		if err := r.stand.processes.signal(e.Node, syscall.SIGTERM); err != nil {
			return err
		}
		status, err := r.stand.processes.wait(ctx, e.Node, stopTimeout)
		if err != nil {
			return err
		}
		if status != 0 {
			r.broken = append(r.broken, fmt.Sprintf("%s exited with status %d after SIGTERM", e.Node, status))
		}
		ended := time.Since(begin)
		if err := r.stand.startEntry(e.Node); err != nil {
			return err
		}
		err = until(ctx, startTimeout, e.Node+" gets requests again", func() bool {
			return slices.Contains(r.balancer.in(), r.stand.callers()[i])
		})
		if err != nil {
			return err
		}
		m.notes = append(m.notes, fmt.Sprintf("%s ended %s after SIGTERM and got requests again after %s",
			e.Node, ended.Round(10*time.Millisecond), time.Since(begin).Round(10*time.Millisecond)))
	}
	return nil
}
