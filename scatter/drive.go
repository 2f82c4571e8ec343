package scatter

import (
	"context"
	"time"
)

// SendFunc carries out one attempt and returns what takes its answer into the merge, or the error that the Machine
// gets. It is called on a goroutine of its own; the returned function is called on the goroutine of Drive, and only if
// the answer counts.
type SendFunc func(ctx context.Context, a Action) (take func(), err error)

// Drive runs a Machine with goroutines and the real clock until it is done or ctx ends. The context of an attempt ends
// when its shard is answered or given up; attempts that lost are cancelled before Drive returns.
func Drive(ctx context.Context, machine *Machine, send SendFunc) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := &driver{
		ctx: ctx, machine: machine, send: send,
		results: make(chan settled), lanes: make([]lane, len(machine.shards)),
	}
	d.loop()
}

// driver is the state of one call of Drive. Only the goroutine of loop touches it, apart from the channel.
type driver struct {
	ctx     context.Context
	machine *Machine
	send    SendFunc
	results chan settled
	lanes   []lane
}

// lane is the context that all attempts of one shard share: they all end when the shard is answered.
type lane struct {
	ctx    context.Context
	cancel context.CancelFunc
}

type settled struct {
	shard, attempt int
	take           func()
	err            error
}

func (d *driver) loop() {
	d.perform(d.machine.Start(time.Now()))
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for !d.machine.Done() {
		var wake <-chan time.Time
		if at, ok := d.machine.Wake(); ok {
			timer.Reset(time.Until(at))
			wake = timer.C
		}
		select {
		case <-d.ctx.Done():
			d.perform(d.machine.Stop(time.Now(), d.ctx.Err()))
		case <-wake:
			d.perform(d.machine.Tick(time.Now()))
		case got := <-d.results:
			d.settle(got)
		}
	}
}

func (d *driver) settle(got settled) {
	actions, taken := d.machine.Settled(got.shard, got.attempt, got.err, time.Now())
	if taken {
		got.take()
		d.lanes[got.shard].cancel()
	}
	d.perform(actions)
}

func (d *driver) perform(actions []Action) {
	for _, a := range actions {
		l := &d.lanes[a.Shard]
		if a.Kind == ActionCancel {
			l.cancel()
			continue
		}
		if l.ctx == nil {
			l.ctx, l.cancel = context.WithCancel(d.ctx)
		}
		go d.attempt(l.ctx, a)
	}
}

func (d *driver) attempt(ctx context.Context, a Action) {
	got := settled{shard: a.Shard, attempt: a.Attempt}
	got.take, got.err = d.send(ctx, a)
	select {
	case d.results <- got:
	case <-d.ctx.Done():
	}
}
