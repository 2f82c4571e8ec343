package membership_test

import (
	"context"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/chivemill/chivemill/membership"
	"github.com/chivemill/chivemill/membership/wire"
	"github.com/chivemill/chivemill/vmlist"
)

// TestForgedRecordsDoNotRemoveMember guards against a faulty peer whose records remove a member that answers its
// probes, lower the member's incarnation, or raise it so far that the member can no longer refute.
func TestForgedRecordsDoNotRemoveMember(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), losslessLink)
		f.startAll(5)
		victim := identifier(address(0))
		own := f.net.Node(address(0)).Incarnation()
		for range 20 {
			to := address(rapid.IntRange(0, 4).Draw(t, "to"))
			f.net.Send("10.9.9.9:1", []membership.Packet{{To: to, Data: forgedDatagram(t, victim)}})
			for range rapid.IntRange(1, 30).Draw(t, "steps") {
				f.net.Advance(200 * time.Millisecond)
				for _, a := range f.running {
					s, known := f.net.Node(a).State(victim)
					if !known || !s.Live() {
						t.Fatalf("%s lists the victim as %s although it answers its probes", a, s)
					}
				}
			}
			if now := f.net.Node(address(0)).Incarnation(); now < own {
				t.Fatalf("the incarnation decreased from %d to %d", own, now)
			}
			own = f.net.Node(address(0)).Incarnation()
		}
		f.net.Advance(20 * time.Second)
		for _, a := range f.running {
			s, _ := f.net.Node(a).State(victim)
			if s != membership.Alive {
				t.Fatalf("%s lists the victim as %s after the last forged record", a, s)
			}
		}
	})
}

// TestForgedFailureInLargeFleet guards against the removal of a member that answers its probes in a fleet where only
// some members verify it and the others wait for its refutation by gossip.
func TestForgedFailureInLargeFleet(t *testing.T) {
	f := newFleet(9, losslessLink)
	f.startAll(60)
	victim := identifier(address(0))
	for i := range 10 {
		d := &wire.Datagram{Kind: wire.Kind_KIND_GOSSIP,
			From: &wire.Record{Id: "faulty", Address: "10.9.9.9:1", Incarnation: 1, State: wire.State_STATE_ALIVE},
			Records: []*wire.Record{{Id: victim, Address: address(0), Incarnation: uint64(1 + i),
				State: wire.State_STATE_FAILED + wire.State(i%2)}}}
		data, err := proto.Marshal(d)
		must.NoError(t, err)
		f.net.Send("10.9.9.9:1", []membership.Packet{{To: address(1 + i), Data: data}})
		for range 50 {
			f.net.Advance(membership.TickInterval)
			for _, a := range f.running {
				s, _ := f.net.Node(a).State(victim)
				must.True(t, s.Live(), must.Sprintf("%s lists the victim as %s although it answers its probes", a, s))
			}
		}
	}
	must.Eq(t, 11, f.net.Node(address(0)).Incarnation())
}

// forgedDatagram returns a datagram in which a faulty peer sends a false record of the victim.
func forgedDatagram(t *rapid.T, victim string) []byte {
	states := []wire.State{wire.State_STATE_ALIVE, wire.State_STATE_SUSPECT, wire.State_STATE_FAILED,
		wire.State_STATE_LEFT}
	incarnations := []uint64{1, 2, 5, 1 << 20, 1 << 40, 1<<40 + 5, 1 << 41, 1 << 60}
	addresses := []string{address(0), "10.9.9.9:2"}
	record := &wire.Record{
		Id:          victim,
		Address:     rapid.SampledFrom(addresses).Draw(t, "address"),
		DataCentre:  "dc-a",
		Region:      "north",
		Incarnation: rapid.SampledFrom(incarnations).Draw(t, "incarnation"),
		State:       rapid.SampledFrom(states).Draw(t, "state"),
	}
	d := &wire.Datagram{Kind: wire.Kind_KIND_GOSSIP, Records: []*wire.Record{record},
		From: &wire.Record{Id: "faulty", Address: "10.9.9.9:1", Incarnation: 1, State: wire.State_STATE_ALIVE}}
	if rapid.Bool().Draw(t, "as the victim") {
		d.From = proto.CloneOf(record)
	}
	data, err := proto.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestInvalidDatagramsAreCounted guards against invalid datagrams that crash the node or are ignored without being
// counted.
func TestInvalidDatagramsAreCounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(1, losslessLink)
		node := f.start(address(0), nil)
		data := rapid.SliceOfN(rapid.Byte(), 0, membership.MaxDatagram+10).Draw(t, "data")
		before := len(node.Members())
		_ = node.Receive(f.net.Now(), "10.9.9.9:1", data)
		var invalid uint64
		for _, c := range node.Stats().Invalid {
			invalid += c
		}
		if invalid == 0 && len(node.Members()) == before {
			t.Fatalf("datagram %x had no effect and was not counted", data)
		}
	})
}

// TestOversizedDatagramIsRejected guards against accepting a datagram above the size limit that is otherwise valid.
func TestOversizedDatagramIsRejected(t *testing.T) {
	f := newFleet(1, losslessLink)
	node := f.start(address(0), nil)
	d := &wire.Datagram{Kind: wire.Kind_KIND_PROBE, Sequence: 1, From: &wire.Record{Id: "faulty",
		Address: "10.9.9.9:1", Incarnation: 1, State: wire.State_STATE_ALIVE}}
	for range membership.MaxDatagram / 100 {
		d.Payloads = append(d.Payloads, make([]byte, 100))
	}
	data, err := proto.Marshal(d)
	must.NoError(t, err)
	must.SliceEmpty(t, node.Receive(f.net.Now(), "10.9.9.9:1", data))
	must.Eq(t, 1, node.Stats().Invalid[membership.InvalidSize])
	must.Len(t, 1, node.Members())
}

// TestMemberListIsBounded guards against a peer that exhausts memory with records of members that do not exist.
func TestMemberListIsBounded(t *testing.T) {
	const limit = 20
	cfg := membership.Config{Self: membership.Member{ID: "a", Address: address(0)},
		Rand: rand.New(rand.NewPCG(1, 1)), MaxMembers: limit}
	node := membership.NewNode(cfg)
	now := time.Unix(1_700_000_000, 0)
	for i := range 500 {
		id := identifier(address(i))
		d := &wire.Datagram{Kind: wire.Kind_KIND_PROBE, Sequence: 1, From: &wire.Record{Id: id,
			Address: address(i + 1), Incarnation: 1, State: wire.State_STATE_ALIVE}}
		data, err := proto.Marshal(d)
		must.NoError(t, err)
		node.Receive(now, address(i+1), data)
		now = now.Add(membership.TickInterval)
		node.Tick(now)
		must.LessEq(t, limit+1, len(node.Members()))
	}
	must.Positive(t, node.Stats().OverLimit)
}

// TestRestartUsesHigherIncarnation guards against a restarted node that cannot rejoin because the records of its
// previous process have a higher incarnation or state.
func TestRestartUsesHigherIncarnation(t *testing.T) {
	f := newFleet(3, losslessLink)
	f.startAll(4)
	a := address(2)
	for restarts := range uint64(3) {
		f.net.Send(a, f.net.Node(a).Leave(f.net.Now()))
		f.net.Advance(3 * time.Second)
		f.stop(a)
		f.net.Advance(time.Second)
		node := f.start(a, []string{address(0)})
		f.net.Advance(5 * time.Second)
		must.Eq(t, restarts+2, node.Incarnation())
		must.Eq(t, "", f.firstDifference(f.running))
	}
}

// TestLeaveIsKnownImmediately guards against a planned leave that spreads only with later probes. In a fleet of 7, the
// leaving node notifies all members directly, so one link delay and one tick suffice.
func TestLeaveIsKnownImmediately(t *testing.T) {
	f := newFleet(4, losslessLink)
	f.startAll(7)
	a := address(3)
	f.net.Send(a, f.net.Node(a).Leave(f.net.Now()))
	f.net.Advance(linkDelay + membership.TickInterval)
	must.Eq(t, "", f.firstDifference(withoutAddress(f.running, a)))
}

// TestIndirectProbesPreventSuspicion guards against suspicions caused by a broken network path between two members.
func TestIndirectProbesPreventSuspicion(t *testing.T) {
	f := newFleet(5, losslessLink)
	f.startAll(6)
	f.net.Link = func(_ *rand.Rand, from, to string) []time.Duration {
		if from == address(0) && to == address(1) || from == address(1) && to == address(0) {
			return nil
		}
		return []time.Duration{linkDelay}
	}
	f.net.Advance(2 * time.Minute)
	for _, a := range f.running {
		must.Zero(t, f.net.Node(a).Stats().Suspicions)
	}
}

// TestPausedNodeSuspectsNoMember guards against a node that mistakes a pause of its own process for failures of others.
func TestPausedNodeSuspectsNoMember(t *testing.T) {
	// The long delay makes it likely that a probe is in flight when a pause begins.
	f := newFleet(6, func(*rand.Rand, string, string) []time.Duration { return []time.Duration{100 * time.Millisecond} })
	f.startAll(6)
	a := address(1)
	for i := range 50 {
		f.net.Advance(time.Duration(900+i*37) * time.Millisecond)
		f.net.Pause(a)
		f.net.Advance(10 * time.Second)
		f.net.Resume(a)
	}
	f.net.Advance(5 * time.Second)
	must.Zero(t, f.net.Node(a).Stats().Suspicions)
	must.Eq(t, "", f.firstDifference(f.running))
}

// TestPayloadReachesAllAndExpires guards against payloads that do not reach a member or are forwarded forever.
func TestPayloadReachesAllAndExpires(t *testing.T) {
	// The sender already has its own payload.
	got := map[string]int{address(0): 1}
	f := newFleet(7, losslessLink)
	f.deliver = func(addr string, p []byte) (string, bool) {
		got[addr]++
		return "key", got[addr] == 1
	}
	f.startAll(8)
	must.True(t, f.net.Node(address(0)).Broadcast("key", []byte("news")))
	f.net.Advance(10 * time.Second)
	must.MapLen(t, 8, got)
	copies := -1
	for _, c := range got {
		copies += c
	}
	// Each of the 8 nodes sends the payload at most 3 log2(8) = 9 times.
	must.LessEq(t, 8*9, copies)
	must.Zero(t, f.net.Node(address(0)).QueueLen())
	must.False(t, f.net.Node(address(0)).Broadcast("key", make([]byte, membership.MaxPayload+1)))
}

// TestByteRateLimit guards against gossip above the control traffic budget of 12 KB/s per node.
func TestByteRateLimit(t *testing.T) {
	f := newFleet(8, losslessLink)
	f.startAll(3)
	node := f.net.Node(address(0))
	before := node.Stats().SentBytes
	for i := range 2000 {
		node.Broadcast(string(rune(i)), make([]byte, 200))
	}
	f.net.Advance(30 * time.Second)
	must.LessEq(t, 30*12_000, node.Stats().SentBytes-before)
	must.Greater(t, 30*5_000, node.Stats().SentBytes-before)
}

// fixedList is a VM list that does not change.
type fixedList []vmlist.VM

func (l fixedList) Fetch(context.Context) ([]vmlist.VM, error) { return l, nil }

// TestTransport guards against a transport whose nodes do not reach each other over UDP, and against leaked goroutines.
func TestTransport(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 2)
	listen := func(id string, seeds fixedList) *membership.Transport {
		tr, err := membership.Listen(membership.Config{Self: membership.Member{ID: id, Address: "127.0.0.1:0"},
			Rand: rand.New(rand.NewPCG(1, 2))}, membership.VMSeeds{List: seeds}, zap.NewNop())
		must.NoError(t, err)
		go func() { done <- tr.Run(ctx) }()
		return tr
	}
	first := listen("a", nil)
	second := listen("b", fixedList{{ID: "a", Role: vmlist.RoleEntry, Address: first.Address()},
		{ID: "x", Role: vmlist.RoleBackend, Address: net.JoinHostPort("127.0.0.1", "1")}})
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		return len(first.Members()) == 2 && len(second.Members()) == 2
	}), wait.Timeout(30*time.Second), wait.Gap(20*time.Millisecond)))
	second.Leave()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		return first.Members()[1].State == membership.Left
	}), wait.Timeout(30*time.Second), wait.Gap(20*time.Millisecond)))
	cancel()
	must.NoError(t, <-done)
	must.NoError(t, <-done)
}
