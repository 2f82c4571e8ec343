package signal

import (
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivemill/chivemill/internal/rendezvous"
	"github.com/chivemill/chivemill/signal/wire"
)

// Encode encodes a signal as a broadcast payload and returns it with its key. The key includes the state, so that a later
// signal with a lower state does not replace a queued leaving mark.
func Encode(s Signal) (key string, payload []byte, err error) {
	payload, err = proto.Marshal(&wire.Payload{Kind: &wire.Payload_Signal{Signal: &wire.Signal{
		Replica: s.Replica, Incarnation: s.Incarnation, State: uint32(s.State), Until: s.Until}}})
	return signalKey(s), payload, err
}

// EncodeCrash encodes a crash fingerprint as a broadcast payload and returns it with its key.
func EncodeCrash(c Crash) (key string, payload []byte, err error) {
	payload, err = proto.Marshal(&wire.Payload{Kind: &wire.Payload_Crash{Crash: &wire.Crash{
		Fingerprint: c.Fingerprint, Until: c.Until}}})
	return crashKey(c), payload, err
}

func signalKey(s Signal) string { return strconv.Itoa(int(s.State)) + s.Replica }

func crashKey(c Crash) string { return "f" + strconv.FormatUint(c.Fingerprint, 16) }

// Decode decodes a broadcast payload. Exactly one of the pointers is not nil on success; otherwise the error is ErrInvalid.
func Decode(payload []byte) (*Signal, *Crash, error) {
	var p wire.Payload
	if proto.Unmarshal(payload, &p) != nil {
		return nil, nil, ErrInvalid
	}
	switch kind := p.Kind.(type) {
	case *wire.Payload_Signal:
		w := kind.Signal
		if w.State > uint32(Leaving) {
			return nil, nil, ErrInvalid
		}
		return &Signal{Replica: w.Replica, Incarnation: w.Incarnation, State: State(w.State), Until: w.Until}, nil, nil
	case *wire.Payload_Crash:
		return nil, &Crash{Fingerprint: kind.Crash.Fingerprint, Until: kind.Crash.Until}, nil
	}
	return nil, nil, ErrInvalid
}

// MergePayload decodes and merges a broadcast payload. It returns the key of the payload, and whether it was new and
// has to be forwarded. The error is ErrInvalid or ErrFull.
func MergePayload(now time.Time, t *Table, c *CrashSet, payload []byte) (key string, fresh bool, err error) {
	s, crash, err := Decode(payload)
	switch {
	case err != nil:
		return "", false, err
	case s != nil:
		fresh, err = t.Merge(now, *s)
		return signalKey(*s), fresh, err
	default:
		fresh, err = c.Merge(now, *crash)
		return crashKey(*crash), fresh, err
	}
}

// PollerAssignment assigns replicas to the daemons that poll them, by rendezvous hashing. It is immutable.
type PollerAssignment struct{ members *rendezvous.Set }

// NewPollerAssignment returns the assignment for a set of members. The preparation pays off if many replicas are
// assigned.
func NewPollerAssignment(members []string) PollerAssignment {
	return PollerAssignment{members: rendezvous.NewSet(members)}
}

// Pollers returns the n members that poll the replica.
func (p PollerAssignment) Pollers(replica string, n int) []string { return p.members.Top(replica, n) }

// PolledReplicas maintains the set of replicas that one daemon polls while the membership changes. It is not safe for
// concurrent use.
type PolledReplicas struct{ ranks *rendezvous.Ranks }

// NewPolledReplicas returns the replicas that self polls. Until SetMembers is called, self is the only member.
func NewPolledReplicas(self string, replicas []string) PolledReplicas {
	return PolledReplicas{ranks: rendezvous.NewRanks(self, replicas)}
}

// SetMembers replaces the set of live members and returns the number of members that joined or left. Each of them costs one
// short hash per replica.
func (p PolledReplicas) SetMembers(members []string) int { return p.ranks.SetMembers(members) }

// Replicas returns the replicas for which self is one of the n pollers, sorted.
func (p PolledReplicas) Replicas(n int) []string { return p.ranks.TopKeys(n) }

// Pollers returns the n members that poll a replica. For many replicas NewPollerAssignment is more efficient.
func Pollers(replica string, members []string, n int) []string {
	return NewPollerAssignment(members).Pollers(replica, n)
}
