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

// maxLeavingDelay is the time after the first evidence of leaving after which no daemon may pick the incarnation.
const maxLeavingDelay = 3 * time.Second

// replicaState is the actual state of a replica, which daemons learn with delay.
type replicaState struct {
	incarnation int64
	// draining holds the incarnations that started to drain, and firstEvidence the time at which a daemon first had
	// evidence of that.
	draining      map[int64]bool
	firstEvidence map[int64]time.Time
}

// modelDaemon is a daemon's view of the replicas: its registry, its signals and the VM list as it last read it.
type modelDaemon struct {
	net      *membershiptest.Network
	address  string
	registry *replica.Registry
	peers    *peers
	node     *membership.Node
	vmStates map[string]vmlist.State
	isolated bool
	// unseenEvidence holds the incarnations for which peers got evidence while the daemon was isolated.
	unseenEvidence map[incarnationID]bool
}

// incarnationID identifies an incarnation of a replica.
type incarnationID struct {
	replica     string
	incarnation int64
}

// leavingModel simulates daemons that learn, over a faulty network, which incarnations of the replicas leave.
type leavingModel struct {
	net      *membershiptest.Network
	daemons  []*modelDaemon
	replicas map[string]*replicaState
	// compared counts the picks that the oracle could have rejected.
	compared int
}

// Replicas of the model, and for each the replicas to exclude so that only it can be picked.
var (
	replicaNames = []string{"r0", "r1"}
	exclusions   = map[string][]string{"r0": {"r1"}, "r1": {"r0"}}
)

func newLeavingModel(seed uint64, daemons int) *leavingModel {
	m := &leavingModel{replicas: make(map[string]*replicaState)}
	m.net = membershiptest.NewNetwork(seed, m.link)
	for _, r := range replicaNames {
		m.replicas[r] = &replicaState{incarnation: 1, draining: map[int64]bool{}, firstEvidence: map[int64]time.Time{}}
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

// link delivers datagrams late, out of order and twice. Datagrams to and from an isolated daemon are lost.
func (m *leavingModel) link(rng *rand.Rand, from, to string) []time.Duration {
	for _, d := range m.daemons {
		if d.isolated && (d.address == from || d.address == to) {
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
	d := &modelDaemon{net: m.net, address: self.Address, registry: replica.NewRegistry(seed), vmStates: make(map[string]vmlist.State),
		unseenEvidence: make(map[incarnationID]bool)}
	d.registry.SetClock(m.net.Now)
	d.peers = &peers{signals: signal.NewTable(), crashes: signal.NewCrashSet(), onSignal: func(s signal.Signal) {
		if s.State == signal.Leaving {
			d.registry.MarkLeaving(s.Replica, int64(s.Incarnation))
		}
	}}
	d.node = membership.NewNode(membership.Config{
		Self: membership.Member{ID: self.ID, Address: self.Address, DataCentre: "dc", Region: "region"},
		Rand: rand.New(rand.NewPCG(seed, 1)), Deliver: d.peers.deliverPayload,
	})
	d.node.SetSeeds(seeds)
	m.net.Start(self.Address, d.node)
	for _, r := range replicaNames {
		d.vmStates[r] = vmlist.StateLive
	}
	d.readVMList()
	for _, r := range replicaNames {
		d.registry.SetLoad(r, loadReport(1, backend.StateReady), m.net.Now())
	}
	m.daemons = append(m.daemons, d)
}

func loadReport(incarnation int64, state backend.State) backend.LoadReport {
	return backend.LoadReport{Incarnation: incarnation, State: state, Slots: 4, Connections: 40}
}

// readVMList applies the VM list in the daemon's possibly outdated version.
func (d *modelDaemon) readVMList() {
	var vms []vmlist.VM
	for _, r := range replicaNames {
		vms = append(vms, vmlist.VM{ID: r, Role: vmlist.RoleBackend, Service: "s", Address: r, State: d.vmStates[r]})
	}
	d.registry.SetVMList(vms)
}

// knownIncarnation returns the incarnation of the replica that the daemon last learned, or 0.
func (d *modelDaemon) knownIncarnation(r string) int64 {
	for _, known := range d.registry.Replicas() {
		if known.ID == r {
			return known.Load.Incarnation
		}
	}
	return 0
}

// raiseSignal broadcasts a leaving signal as peers.raiseSignal does over its transport. It reports whether the signal
// was new.
func (d *modelDaemon) raiseSignal(now time.Time, r string, incarnation int64) bool {
	s, changed, err := d.peers.signals.Raise(now, r, uint64(incarnation), signal.Leaving)
	if err != nil || !changed {
		return false
	}
	if key, payload, err := signal.Encode(s); err == nil {
		d.net.Send(d.address, d.node.BroadcastUrgent(key, append([]byte{payloadSignal}, payload...)))
	}
	return true
}

// recordEvidence raises a leaving signal for true evidence that the daemon received, and records the time unless the
// daemon is isolated. The model does not rebroadcast a signal that an isolated daemon raised, so the others need
// evidence of their own.
func (m *leavingModel) recordEvidence(d *modelDaemon, r string, incarnation int64) {
	raised := d.raiseSignal(m.net.Now(), r, incarnation)
	if _, known := m.replicas[r].firstEvidence[incarnation]; raised && !known && !d.isolated {
		m.replicas[r].firstEvidence[incarnation] = m.net.Now()
	}
}

// poll applies a load report that may be of an earlier incarnation or may state ready although the replica drains.
func (m *leavingModel) poll(t *rapid.T) {
	d, r := m.daemon(t), m.replica(t)
	incarnation := rapid.Int64Range(max(1, m.replicas[r].incarnation-1), m.replicas[r].incarnation).Draw(t, "incarnation")
	state := backend.StateReady
	if m.replicas[r].draining[incarnation] && !rapid.Bool().Draw(t, "stale") {
		state = backend.StateDraining
	}
	d.registry.SetLoad(r, loadReport(incarnation, state), m.net.Now())
	if state == backend.StateDraining {
		m.recordEvidence(d, r, incarnation)
	}
}

// send picks a replica and sends a request, which a draining replica refuses.
func (m *leavingModel) send(t *rapid.T) {
	d := m.daemon(t)
	picked, ok := d.registry.Pick("s", snapshot.Version{}, "", nil)
	if !ok {
		return
	}
	actual := m.replicas[picked.ID]
	if !actual.draining[actual.incarnation] {
		d.registry.Finish(picked.ID, time.Millisecond, nil)
		return
	}
	refusal := backend.Refusal{Reason: backend.RefusedDraining, Incarnation: actual.incarnation}
	d.registry.Finish(picked.ID, time.Millisecond, &backend.Error{Failure: backend.Refused, Refusal: refusal})
	d.registry.MarkLeaving(picked.ID, actual.incarnation)
	m.recordEvidence(d, picked.ID, actual.incarnation)
}

// relist updates the VM list of one daemon, or lets it read the outdated list again. The list does not name
// incarnations, so it marks a replica as leaving only if the daemon knows the current incarnation.
func (m *leavingModel) relist(t *rapid.T) {
	d, r := m.daemon(t), m.replica(t)
	actual := m.replicas[r]
	switch {
	case rapid.Bool().Draw(t, "lags"):
	case !actual.draining[actual.incarnation]:
		d.vmStates[r] = vmlist.StateLive
	case d.knownIncarnation(r) == actual.incarnation:
		d.vmStates[r] = vmlist.StateLeaving
	}
	d.readVMList()
}

// forge delivers a signal of any state other than leaving, as delayed or repeated signals arrive.
func (m *leavingModel) forge(t *rapid.T) {
	d, r := m.daemon(t), m.replica(t)
	state := signal.State(rapid.IntRange(int(signal.Ready), int(signal.Crashed)).Draw(t, "state"))
	s := signal.Signal{Replica: r, Incarnation: uint64(rapid.Int64Range(1, m.replicas[r].incarnation).Draw(t, "of")), State: state}
	if _, payload, err := signal.Encode(s); err == nil {
		d.peers.deliverPayload(append([]byte{payloadSignal}, payload...))
	}
}

func (m *leavingModel) daemon(t *rapid.T) *modelDaemon {
	return m.daemons[rapid.IntRange(0, len(m.daemons)-1).Draw(t, "daemon")]
}

func (m *leavingModel) replica(t *rapid.T) string {
	return rapid.SampledFrom(replicaNames).Draw(t, "replica")
}

func (m *leavingModel) leave(t *rapid.T) {
	actual := m.replicas[m.replica(t)]
	actual.draining[actual.incarnation] = true
}

func (m *leavingModel) restart(t *rapid.T) { m.replicas[m.replica(t)].incarnation++ }

// cutOff isolates a daemon from the network, or reconnects the isolated one. Recent evidence is discarded at the start
// of the isolation, because the daemon may not have passed it on; evidence that the others have at its end counts as
// unseen.
func (m *leavingModel) cutOff(t *rapid.T) {
	for _, d := range m.daemons {
		if d.isolated {
			d.isolated = false
			m.net.Advance(20 * time.Second)
			m.eachEvidence(func(r string, incarnation int64, _ time.Time) { d.unseenEvidence[incarnationID{r, incarnation}] = true })
			return
		}
	}
	m.eachEvidence(func(r string, incarnation int64, at time.Time) {
		if m.net.Now().Sub(at) <= maxLeavingDelay {
			delete(m.replicas[r].firstEvidence, incarnation)
		}
	})
	m.daemon(t).isolated = true
}

func (m *leavingModel) eachEvidence(f func(r string, incarnation int64, at time.Time)) {
	for name, r := range m.replicas {
		for incarnation, at := range r.firstEvidence {
			f(name, incarnation, at)
		}
	}
}

// pickOnly returns the replica that the daemon picks if all others than r are excluded.
func (d *modelDaemon) pickOnly(r string) (replica.Replica, bool) {
	picked, ok := d.registry.Pick("s", snapshot.Version{}, "", exclusions[r])
	if ok {
		d.registry.Finish(picked.ID, time.Millisecond, nil)
	}
	return picked, ok
}

// check is the oracle: no daemon picks a replica later than maxLeavingDelay after the first evidence that the running
// incarnation leaves, whichever incarnation the daemon knows.
func (m *leavingModel) check(t *rapid.T) {
	for r, actual := range m.replicas {
		at, hasEvidence := actual.firstEvidence[actual.incarnation]
		age := m.net.Now().Sub(at)
		for _, d := range m.daemons {
			if !hasEvidence || age <= maxLeavingDelay || d.isolated || d.unseenEvidence[incarnationID{r, actual.incarnation}] {
				continue
			}
			m.compared++
			if _, ok := d.pickOnly(r); ok {
				t.Fatalf("%s picks incarnation %d of %s %s after the first evidence", d.address, actual.incarnation, r, age)
			}
		}
	}
}

// checkReadyReplicasUsed requires that each daemon, after a correct load report and VM list, uses exactly the replicas
// that are not draining.
func (m *leavingModel) checkReadyReplicasUsed(t *rapid.T) {
	for _, d := range m.daemons {
		for r, actual := range m.replicas {
			state := backend.StateReady
			if actual.draining[actual.incarnation] {
				state = backend.StateDraining
			}
			d.registry.SetLoad(r, loadReport(actual.incarnation, state), m.net.Now())
			d.vmStates[r] = vmlist.StateLive
			d.readVMList()
			if _, used := d.pickOnly(r); used != (state == backend.StateReady) {
				t.Fatalf("%s uses %s: %t, its incarnation %d is %s", d.address, r, used, actual.incarnation, state)
			}
		}
	}
}

// limitChecks sets a lower number of scenarios for a test that is slower than the others of the package.
func limitChecks(t *testing.T, checks string) {
	if os.Getenv("RAPID_FRESH") != "" {
		return
	}
	old := flag.Lookup("rapid.checks").Value.String()
	must.NoError(t, flag.Set("rapid.checks", checks))
	t.Cleanup(func() { _ = flag.Set("rapid.checks", old) })
}

// Guards against new work for a leaving incarnation 3 s after any daemon has seen it leave, and against a new
// incarnation that stays unused. Load reports, VM lists, refusals and signals arrive late, twice, out of order and from
// earlier incarnations; a daemon is isolated and reconnected.
func TestLeavingIncarnationsAreNotPicked(t *testing.T) {
	limitChecks(t, "300")
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
		m.checkReadyReplicasUsed(t)
		compared += m.compared
	})
	t.Logf("%d picks compared", compared)
	must.Positive(t, compared)
}
