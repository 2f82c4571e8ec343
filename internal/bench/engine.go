// Package bench measures the decision code of replica choice, hedges, retries and admission in virtual time,
// against simulated replicas. It does not simulate a whole cluster, only the replica's slots, queue, connections,
// service times, cold start, drain, load shedding, cancellation and load reports, and the delay of messages. The
// decisions are made by packages scatter, replica, hedge and limit. Equal seeds give equal results.
package bench

import "time"

// epoch is the start of virtual time. It differs from the zero time, which the decision code treats as unset.
var epoch = time.Unix(1_000_000_000, 0)

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

func (e event) before(f event) bool {
	if e.at != f.at {
		return e.at < f.at
	}
	return e.seq < f.seq
}

// engine runs events in the order of their virtual time; events of the same time run in the order of their
// creation. It is not safe for concurrent use. The queue is a binary heap of its own, because container/heap allocates
// for every event.
type engine struct {
	now   time.Duration
	seq   uint64
	queue []event
}

func (e *engine) after(d time.Duration, run func()) {
	e.seq++
	e.queue = append(e.queue, event{e.now + max(0, d), e.seq, run})
	for i := len(e.queue) - 1; i > 0; {
		parent := (i - 1) / 2
		if !e.queue[i].before(e.queue[parent]) {
			return
		}
		e.queue[i], e.queue[parent] = e.queue[parent], e.queue[i]
		i = parent
	}
}

func (e *engine) at(t time.Duration, run func()) { e.after(t-e.now, run) }

func (e *engine) pop() event {
	first := e.queue[0]
	last := len(e.queue) - 1
	e.queue[0] = e.queue[last]
	e.queue[last] = event{}
	e.queue = e.queue[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			return first
		}
		if child+1 < last && e.queue[child+1].before(e.queue[child]) {
			child++
		}
		if !e.queue[child].before(e.queue[i]) {
			return first
		}
		e.queue[i], e.queue[child] = e.queue[child], e.queue[i]
		i = child
	}
}

// time returns the virtual time as the decision code sees it.
func (e *engine) time() time.Time { return epoch.Add(e.now) }

// run handles all events that are due by end.
func (e *engine) run(end time.Duration) {
	for len(e.queue) > 0 && e.queue[0].at <= end {
		next := e.pop()
		e.now = next.at
		next.run()
	}
}
