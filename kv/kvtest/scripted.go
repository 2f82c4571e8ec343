package kvtest

import (
	"context"
	"sync"
	"time"

	"github.com/chivemill/chivemill/kv"
)

// TxnFault changes one transaction of a Scripted store. The zero value changes nothing.
type TxnFault struct {
	// Before and After delay the transaction and its answer. They model a paused process, so neither ends with
	// the call's deadline.
	Before, After time.Duration
	// Lose loses the answer of a transaction that took effect.
	Lose bool
	// Down refuses the transaction without effect.
	Down bool
	// Late, if positive, loses the answer at once while the transaction takes effect after the duration.
	Late time.Duration
	// KillBefore and KillAfter end the process that uses the store before or after the transaction takes effect:
	// no later call of it reaches the store.
	KillBefore, KillAfter bool
}

// Scripted is the view that one process has of a store. It applies one fault to each of its first transactions.
// It is safe for concurrent use.
type Scripted struct {
	kv.Store
	// Killed is called when a fault ends the process; it may be nil.
	Killed func()

	mu     sync.Mutex
	faults []TxnFault
	dead   bool
}

// NewScripted returns a view of the store with the faults.
func NewScripted(store kv.Store, faults []TxnFault) *Scripted {
	return &Scripted{Store: store, faults: faults}
}

func (s *Scripted) next() (TxnFault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults) == 0 || s.dead {
		return TxnFault{}, s.dead
	}
	f := s.faults[0]
	s.faults = s.faults[1:]
	s.dead = f.KillBefore || f.KillAfter
	return f, false
}

// Get implements kv.Store.
func (s *Scripted) Get(ctx context.Context, key string) (kv.Item, bool, error) {
	s.mu.Lock()
	dead := s.dead
	s.mu.Unlock()
	if dead {
		return kv.Item{}, false, kv.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

// Txn implements kv.Store.
func (s *Scripted) Txn(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	f, dead := s.next()
	if dead || f.Down {
		return kv.TxnResult{}, kv.ErrUnavailable
	}
	if f.Late > 0 {
		time.AfterFunc(f.Late, func() { _, _ = s.Store.Txn(context.Background(), txn) })
		return kv.TxnResult{}, kv.ErrUncertain
	}
	if f.KillBefore || f.KillAfter {
		if s.Killed != nil {
			s.Killed()
		}
		if f.KillAfter {
			_, _ = s.Store.Txn(context.Background(), txn)
		}
		return kv.TxnResult{}, kv.ErrUncertain
	}
	sleep(f.Before)
	result, err := s.Store.Txn(context.Background(), txn)
	sleep(f.After)
	if err == nil && f.Lose {
		return kv.TxnResult{}, kv.ErrUncertain
	}
	return result, err
}

func sleep(d time.Duration) {
	if d > 0 {
		<-time.After(d)
	}
}
