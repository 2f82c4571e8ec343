package kvtest

import (
	"context"
	"sync"
	"time"

	"github.com/chivemill/chivemill/kv"
)

// TxnFault is a fault injected into one transaction of a Scripted store. The zero value injects none.
type TxnFault struct {
	// DelayBefore and DelayAfter delay the transaction and its response. They simulate a paused process, so the call's
	// deadline does not end them.
	DelayBefore, DelayAfter time.Duration
	// LoseResponse executes the transaction and loses its response.
	LoseResponse bool
	// Unavailable makes the transaction fail with kv.ErrUnavailable and without effect.
	Unavailable bool
	// ExecuteAfter, if positive, returns kv.ErrOutcomeUnknown at once and executes the transaction after this duration.
	ExecuteAfter time.Duration
	// KillBefore and KillAfter simulate a crash of the process that uses the store, before or after the transaction takes
	// effect. No later Get or Txn of the process reaches the store.
	KillBefore, KillAfter bool
}

// Scripted is a wrapper of a store for one simulated process. It injects a given sequence of faults, one into each of the
// first transactions. It is safe for concurrent use.
type Scripted struct {
	kv.Store
	// OnKill is called when a fault kills the process; it may be nil.
	OnKill func()

	mu     sync.Mutex
	faults []TxnFault
	killed bool
}

// NewScripted returns a wrapper of the store that injects the faults in order.
func NewScripted(store kv.Store, faults []TxnFault) *Scripted {
	return &Scripted{Store: store, faults: faults}
}

func (s *Scripted) nextFault() (TxnFault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults) == 0 || s.killed {
		return TxnFault{}, s.killed
	}
	f := s.faults[0]
	s.faults = s.faults[1:]
	s.killed = f.KillBefore || f.KillAfter
	return f, false
}

// Get implements kv.Store.
func (s *Scripted) Get(ctx context.Context, key string) (kv.Item, bool, error) {
	s.mu.Lock()
	killed := s.killed
	s.mu.Unlock()
	if killed {
		return kv.Item{}, false, kv.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

// Txn implements kv.Store.
func (s *Scripted) Txn(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	fault, killed := s.nextFault()
	if killed || fault.Unavailable {
		return kv.TxnResult{}, kv.ErrUnavailable
	}
	if fault.ExecuteAfter > 0 {
		time.AfterFunc(fault.ExecuteAfter, func() { _, _ = s.Store.Txn(context.Background(), txn) })
		return kv.TxnResult{}, kv.ErrOutcomeUnknown
	}
	if fault.KillBefore || fault.KillAfter {
		if s.OnKill != nil {
			s.OnKill()
		}
		if fault.KillAfter {
			_, _ = s.Store.Txn(context.Background(), txn)
		}
		return kv.TxnResult{}, kv.ErrOutcomeUnknown
	}
	sleep(fault.DelayBefore)
	result, err := s.Store.Txn(context.Background(), txn)
	sleep(fault.DelayAfter)
	if err == nil && fault.LoseResponse {
		return kv.TxnResult{}, kv.ErrOutcomeUnknown
	}
	return result, err
}

func sleep(d time.Duration) {
	if d > 0 {
		<-time.After(d)
	}
}
