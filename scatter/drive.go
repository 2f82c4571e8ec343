package scatter

import (
	"context"
	"time"
)

// SendFunc performs one attempt. It returns either a function that adds the response to the merged result, or the
// error to report to the StateMachine. SendFunc runs on a goroutine of its own. The returned function runs on the
// goroutine of Drive, and only if the response is used.
type SendFunc func(ctx context.Context, a Action) (merge func(), err error)

// Drive runs a StateMachine with goroutines and the system clock until it is done or ctx ends. The context of an
// attempt ends when its shard is answered or given up. Attempts that are no longer needed are cancelled before Drive
// returns.
func Drive(ctx context.Context, machine *StateMachine, send SendFunc) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := &driver{
		ctx: ctx, machine: machine, send: send,
		results: make(chan attemptResult), shardContexts: make([]shardContext, len(machine.shards)),
	}
	d.loop()
}

// driver is the state of one call of Drive. Except for the channel, it is only accessed by the goroutine of loop.
type driver struct {
	ctx           context.Context
	machine       *StateMachine
	send          SendFunc
	results       chan attemptResult
	shardContexts []shardContext
}

// shardContext is the context shared by all attempts of one shard. It ends when the shard is answered or given up.
type shardContext struct {
	ctx    context.Context
	cancel context.CancelFunc
}

type attemptResult struct {
	shard, attempt int
	merge          func()
	err            error
}

func (d *driver) loop() {
	d.perform(d.machine.Start(time.Now()))
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for !d.machine.Done() {
		var timerC <-chan time.Time
		if at, ok := d.machine.NextTick(); ok {
			timer.Reset(time.Until(at))
			timerC = timer.C
		}
		select {
		case <-d.ctx.Done():
			d.perform(d.machine.Stop(time.Now(), d.ctx.Err()))
		case <-timerC:
			d.perform(d.machine.Tick(time.Now()))
		case result := <-d.results:
			d.handleResult(result)
		}
	}
}

func (d *driver) handleResult(result attemptResult) {
	actions, used := d.machine.HandleResult(result.shard, result.attempt, result.err, time.Now())
	if used {
		result.merge()
		d.shardContexts[result.shard].cancel()
	}
	d.perform(actions)
}

func (d *driver) perform(actions []Action) {
	for _, a := range actions {
		sc := &d.shardContexts[a.Shard]
		if a.Kind == ActionCancel {
			sc.cancel()
			continue
		}
		if sc.ctx == nil {
			sc.ctx, sc.cancel = context.WithCancel(d.ctx)
		}
		go d.attempt(sc.ctx, a)
	}
}

func (d *driver) attempt(ctx context.Context, a Action) {
	result := attemptResult{shard: a.Shard, attempt: a.Attempt}
	result.merge, result.err = d.send(ctx, a)
	select {
	case d.results <- result:
	case <-d.ctx.Done():
	}
}
