package signal

import (
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivemill/chivemill/internal/rendezvous"
	"github.com/chivemill/chivemill/signal/wire"
)

// Encode returns a signal as a broadcast payload with its key. The key contains the state, so that a later and
// lower state does not replace a leaving mark that still waits to be sent.
func Encode(s Signal) (key string, payload []byte, err error) {
	payload, err = proto.Marshal(&wire.Payload{Kind: &wire.Payload_Signal{Signal: &wire.Signal{
		Replica: s.Replica, Incarnation: s.Incarnation, State: uint32(s.State), Until: s.Until}}})
	return signalKey(s), payload, err
}

// EncodeCrash returns a fingerprint as a broadcast payload with its key.
func EncodeCrash(c Crash) (key string, payload []byte, err error) {
	payload, err = proto.Marshal(&wire.Payload{Kind: &wire.Payload_Crash{Crash: &wire.Crash{
		Fingerprint: c.Fingerprint, Until: c.Until}}})
	return crashKey(c), payload, err
}

func signalKey(s Signal) string { return strconv.Itoa(int(s.State)) + s.Replica }

func crashKey(c Crash) string { return "f" + strconv.FormatUint(c.Fingerprint, 16) }

// Decode decodes a broadcast payload; one of the results is set. The error is ErrInvalid.
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

// Deliver merges a broadcast payload. It returns the payload's key and whether the payload was new and has to be
// sent on. Errors are ErrInvalid and ErrFull.
func Deliver(now time.Time, t *Table, c *Crashes, payload []byte) (key string, fresh bool, err error) {
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

// Polling assigns replicas to the daemons that poll them. It is not changed after NewPolling.
type Polling struct{ members *rendezvous.Set }

// NewPolling prepares the members for many replicas.
func NewPolling(members []string) Polling { return Polling{members: rendezvous.NewSet(members)} }

// Pollers returns the n members that poll the replica.
func (p Polling) Pollers(replica string, n int) []string { return p.members.Top(replica, n) }

// Duties keeps which replicas one daemon polls while members come and go. It is not safe for concurrent use.
type Duties struct{ ranks *rendezvous.Ranks }

// NewDuties returns the duties of self, which is the only member at first.
func NewDuties(self string, replicas []string) Duties {
	return Duties{ranks: rendezvous.NewRanks(self, replicas)}
}

// SetMembers replaces the live members and returns the number of members that changed. Each of them costs one short
// hash per replica.
func (d Duties) SetMembers(members []string) int { return d.ranks.SetMembers(members) }

// Replicas returns the replicas that have self among their n pollers, sorted.
func (d Duties) Replicas(n int) []string { return d.ranks.First(n) }

// Pollers is Polling.Pollers for one replica.
func Pollers(replica string, members []string, n int) []string {
	return NewPolling(members).Pollers(replica, n)
}
