package entry

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/membership"
	"github.com/chivemill/chivemill/membership/membershiptest"
	"github.com/chivemill/chivemill/replica"
	"github.com/chivemill/chivemill/signal"
	"github.com/chivemill/chivemill/snapshot"
	"github.com/chivemill/chivemill/vmlist"
)

// leavingBound is the time after the first true sign from which no daemon picks the incarnation.
const leavingBound = 3 * time.Second

// truth is what a replica really does.
type truth struct {
	incarnation int64
	// left holds the incarnations that started to drain, and signs when a daemon first saw a true sign of that.
	left  map[int64]bool
	signs map[int64]time.Time
}

// leavingDaemon is what a daemon knows: its registry, its signals and its reading of the VM list.
type leavingDaemon struct {
	net      *membershiptest.Network
	address  string
	registry *replica.Registry
	peers    *peers
	node     *membership.Node
	list     map[string]vmlist.State
	cut      bool
	// missed holds the signs that peers saw while the daemon was cut off.
	missed map[incarnationOf]bool
}

type incarnationOf struct {
	replica     string
	incarnation int64
}

type leavingModel struct {
	net      *membershiptest.Network
	daemons  []*leavingDaemon
	replicas map[string]*truth
	// compared counts the picks that the oracle could have rejected.
	compared int
}

// Replicas of the model, and those to leave out to get the other one.
var (
	leavingNames = []string{"r0", "r1"}
	others       = map[string][]string{"r0": {"r1"}, "r1": {"r0"}}
)

func newLeavingModel(seed uint64, daemons int) *leavingModel {
	m := &leavingModel{replicas: make(map[string]*truth)}
	m.net = membershiptest.NewNetwork(seed, m.link)
	for _, r := range leavingNames {
		m.replicas[r] = &truth{incarnation: 1, left: map[int64]bool{}, signs: map[int64]time.Time{}}
	}
	var seeds []membership.Seed
	for i := range daemons {
		seeds = append(seeds, membership.Seed{ID: fmt.Sprint("entry-", i), Address: fmt.Sprintf("10.0.0.%d:7000", i+1)})
	}
	for i, s := range seeds {
		m.startDaemon(s, seeds, seed+uint64(i))
	}
	m.net.Advance(20 * time.Second)
	return m
}

// link delivers late, out of order and twice, but not to or from a daemon that is cut off.
func (m *leavingModel) link(rng *rand.Rand, from, to string) []time.Duration {
	for _, d := range m.daemons {
		if d.cut && (d.address == from || d.address == to) {
			return nil
		}
	}
	delays := []time.Duration{time.Duration(1+rng.IntN(100)) * time.Millisecond}
	if rng.IntN(4) == 0 {
		delays = append(delays, time.Duration(rng.IntN(2000))*time.Millisecond)
	}
	return delays
}

func (m *leavingModel) startDaemon(self membership.Seed, seeds []membership.Seed, seed uint64) {
	d := &leavingDaemon{net: m.net, address: self.Address, registry: replica.NewRegistry(seed), list: make(map[string]vmlist.State),
		missed: make(map[incarnationOf]bool)}
	d.registry.SetClock(m.net.Now)
	d.peers = &peers{signals: signal.NewTable(), crashes: signal.NewCrashSet(), learned: func(s signal.Signal) {
		if s.State == signal.Leaving {
			d.registry.MarkLeaving(s.Replica, int64(s.Incarnation))
		}
	}}
	d.node = membership.NewNode(membership.Config{
		Self: membership.Member{ID: self.ID, Address: self.Address, DataCentre: "dc", Region: "region"},
		Rand: rand.New(rand.NewPCG(seed, 1)), Deliver: d.peers.deliver,
	})
	d.node.SetSeeds(seeds)
	m.net.Start(self.Address, d.node)
	for _, r := range leavingNames {
		d.list[r] = vmlist.StateLive
	}
	d.readList()
	for _, r := range leavingNames {
		d.registry.SetLoad(r, leavingLoad(1, backend.StateReady), m.net.Now())
	}
	m.daemons = append(m.daemons, d)
}

func leavingLoad(incarnation int64, state backend.State) backend.LoadReport {
	return backend.LoadReport{Incarnation: incarnation, State: state, Slots: 4, Connections: 40}
}

// readList reads the list as it was when it last changed for this daemon.
func (d *leavingDaemon) readList() {
	var vms []vmlist.VM
	for _, r := range leavingNames {
		vms = append(vms, vmlist.VM{ID: r, Role: vmlist.RoleBackend, Service: "s", Address: r, State: d.list[r]})
	}
	d.registry.SetVMList(vms)
}

// knows returns the incarnation that the daemon knows of the replica.
func (d *leavingDaemon) knows(r string) int64 {
	for _, known := range d.registry.Replicas() {
		if known.ID == r {
			return known.Load.Incarnation
		}
	}
	return 0
}

// raise tells the peers, as peers.raise does over its transport, and reports whether it did.
func (d *leavingDaemon) raise(now time.Time, r string, incarnation int64) bool {
	s, changed, err := d.peers.signals.Raise(now, r, uint64(incarnation), signal.Leaving)
	if err != nil || !changed {
		return false
	}
	if key, payload, err := signal.Encode(s); err == nil {
		d.net.Send(d.address, d.node.BroadcastUrgent(key, append([]byte{payloadSignal}, payload...)))
	}
	return true
}

// sign records a true sign that a daemon which the others can reach told its peers. What a daemon told while it was
// cut off is not told again, so the others learn it from another source.
func (m *leavingModel) sign(d *leavingDaemon, r string, incarnation int64) {
	told := d.raise(m.net.Now(), r, incarnation)
	if _, known := m.replicas[r].signs[incarnation]; told && !known && !d.cut {
		m.replicas[r].signs[incarnation] = m.net.Now()
	}
}

// poll takes a load report that may be late, of an earlier incarnation, or may say ready although the replica drains.
func (m *leavingModel) poll(t *rapid.T) {
	d, r := m.daemon(t), m.replica(t)
	incarnation := rapid.Int64Range(max(1, m.replicas[r].incarnation-1), m.replicas[r].incarnation).Draw(t, "incarnation")
	state := backend.StateReady
	if m.replicas[r].left[incarnation] && !rapid.Bool().Draw(t, "stale") {
		state = backend.StateDraining
	}
	d.registry.SetLoad(r, leavingLoad(incarnation, state), m.net.Now())
	if state == backend.StateDraining {
		m.sign(d, r, incarnation)
	}
}

// send picks a replica and sends to it. One that drains refuses.
func (m *leavingModel) send(t *rapid.T) {
	d := m.daemon(t)
	picked, ok := d.registry.Pick("s", snapshot.Version{}, "", nil)
	if !ok {
		return
	}
	now := m.replicas[picked.ID]
	if !now.left[now.incarnation] {
		d.registry.Finish(picked.ID, time.Millisecond, nil)
		return
	}
	refusal := backend.Refusal{Reason: backend.RefusedDraining, Incarnation: now.incarnation}
	d.registry.Finish(picked.ID, time.Millisecond, &backend.Error{Failure: backend.Refused, Refusal: refusal})
	d.registry.MarkLeaving(picked.ID, now.incarnation)
	m.sign(d, picked.ID, now.incarnation)
}

// relist lets the list of one daemon catch up, or only be read again while it lags. A list cannot tell which
// incarnation it speaks of, so it calls only a known present incarnation leaving.
func (m *leavingModel) relist(t *rapid.T) {
	d, r := m.daemon(t), m.replica(t)
	now := m.replicas[r]
	switch {
	case rapid.Bool().Draw(t, "lags"):
	case !now.left[now.incarnation]:
		d.list[r] = vmlist.StateLive
	case d.knows(r) == now.incarnation:
		d.list[r] = vmlist.StateLeaving
	}
	d.readList()
}

// forge delivers a signal of any state about an incarnation that is not leaving, as old or repeated ones arrive.
func (m *leavingModel) forge(t *rapid.T) {
	d, r := m.daemon(t), m.replica(t)
	state := signal.State(rapid.IntRange(int(signal.Ready), int(signal.Crashed)).Draw(t, "state"))
	s := signal.Signal{Replica: r, Incarnation: uint64(rapid.Int64Range(1, m.replicas[r].incarnation).Draw(t, "of")), State: state}
	if _, payload, err := signal.Encode(s); err == nil {
		d.peers.deliver(append([]byte{payloadSignal}, payload...))
	}
}

func (m *leavingModel) daemon(t *rapid.T) *leavingDaemon {
	return m.daemons[rapid.IntRange(0, len(m.daemons)-1).Draw(t, "daemon")]
}

func (m *leavingModel) replica(t *rapid.T) string {
	return rapid.SampledFrom(leavingNames).Draw(t, "replica")
}

func (m *leavingModel) leave(t *rapid.T) {
	now := m.replicas[m.replica(t)]
	now.left[now.incarnation] = true
}

func (m *leavingModel) restart(t *rapid.T) { m.replicas[m.replica(t)].incarnation++ }

// cutOff takes a daemon off the network, or lets it return. It may not have passed on what it saw just before, and does
// not learn what the others saw meanwhile.
func (m *leavingModel) cutOff(t *rapid.T) {
	for _, d := range m.daemons {
		if d.cut {
			d.cut = false
			m.net.Advance(20 * time.Second)
			m.eachSign(func(r string, incarnation int64, _ time.Time) { d.missed[incarnationOf{r, incarnation}] = true })
			return
		}
	}
	m.eachSign(func(r string, incarnation int64, at time.Time) {
		if m.net.Now().Sub(at) <= leavingBound {
			delete(m.replicas[r].signs, incarnation)
		}
	})
	m.daemon(t).cut = true
}

func (m *leavingModel) eachSign(f func(r string, incarnation int64, at time.Time)) {
	for name, r := range m.replicas {
		for incarnation, at := range r.signs {
			f(name, incarnation, at)
		}
	}
}

// choose returns the replica that the daemon picks if it must not use the other one.
func (d *leavingDaemon) choose(r string) (replica.Replica, bool) {
	picked, ok := d.registry.Pick("s", snapshot.Version{}, "", others[r])
	if ok {
		d.registry.Finish(picked.ID, time.Millisecond, nil)
	}
	return picked, ok
}

// check is the oracle: no pick of a replica later than the bound after the first true sign of the incarnation that
// runs there, whichever incarnation the daemon believes in.
func (m *leavingModel) check(t *rapid.T) {
	for r, now := range m.replicas {
		at, signed := now.signs[now.incarnation]
		age := m.net.Now().Sub(at)
		for _, d := range m.daemons {
			if !signed || age <= leavingBound || d.cut || d.missed[incarnationOf{r, now.incarnation}] {
				continue
			}
			m.compared++
			if _, ok := d.choose(r); ok {
				t.Fatalf("%s picks incarnation %d of %s %s after the first sign", d.address, now.incarnation, r, age)
			}
		}
	}
}

// checkUsed requires, after a true load report and list, that each daemon uses exactly what does not leave.
func (m *leavingModel) checkUsed(t *rapid.T) {
	for _, d := range m.daemons {
		for r, now := range m.replicas {
			state := backend.StateReady
			if now.left[now.incarnation] {
				state = backend.StateDraining
			}
			d.registry.SetLoad(r, leavingLoad(now.incarnation, state), m.net.Now())
			d.list[r] = vmlist.StateLive
			d.readList()
			if _, used := d.choose(r); used != (state == backend.StateReady) {
				t.Fatalf("%s uses %s: %t, its incarnation %d is %s", d.address, r, used, now.incarnation, state)
			}
		}
	}
}

// fewerChecks lowers the number of scenarios for a test that is slower than the others of the package.
func fewerChecks(t *testing.T, checks string) {
	if os.Getenv("RAPID_FRESH") != "" {
		return
	}
	old := flag.Lookup("rapid.checks").Value.String()
	must.NoError(t, flag.Set("rapid.checks", checks))
	t.Cleanup(func() { _ = flag.Set("rapid.checks", old) })
}

// Guards against new work for a leaving incarnation 3 s after any daemon saw it leave, and against a new incarnation
// that stays unused. Load reports, lists, refusals and signals arrive late, twice, out of order and from earlier
// incarnations; a daemon is cut off and returns.
func TestLeavingIncarnationsAreNotPicked(t *testing.T) {
	fewerChecks(t, "300")
	compared := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newLeavingModel(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "daemons"))
		step := func(t *rapid.T) {
			m.net.Advance(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
		}
		t.Repeat(map[string]func(*rapid.T){
			"poll": m.poll, "send": m.send, "relist": m.relist, "forge": m.forge, "leave": m.leave,
			"restart": m.restart, "cut": m.cutOff, "step": step, "step again": step, "": m.check,
		})
		m.checkUsed(t)
		compared += m.compared
	})
	t.Logf("%d picks compared", compared)
	must.Positive(t, compared)
}
