package entry

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/chivemill/chivemill/api"
	client "github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/internal/standin/backend"
	"github.com/chivemill/chivemill/internal/standin/memfleet"
	"github.com/chivemill/chivemill/internal/testseed"
	"github.com/chivemill/chivemill/profile"
	"github.com/chivemill/chivemill/quarantine"
	"github.com/chivemill/chivemill/relay"
	"github.com/chivemill/chivemill/replica"
	"github.com/chivemill/chivemill/share"
	"github.com/chivemill/chivemill/snapshot"
	"github.com/chivemill/chivemill/vmlist"
)

// searchDaemon returns a daemon whose search path sends to the in-memory fleet.
func searchDaemon(t *testing.T, sender relay.Sender) *Daemon {
	d := &Daemon{
		log: zap.NewNop(), registry: replica.NewRegistry(1),
		guard:      quarantine.NewGuard(quarantine.DefaultRule(), quarantine.DefaultExpiry, nil, nil),
		catalogues: make(map[string]*snapshot.Catalogue), policies: make(map[string]*servicePolicy),
	}
	d.peers = &peers{limits: d.connectionLimit, counted: share.NewTracker("e", 1000*time.Hour, time.Hour), ranked: share.NewSet([]string{"e"})}
	d.peers.set.Node = "e"
	now := time.Now()
	// The daemon has watched the lists throughout its join delay, so that it may use its share.
	d.peers.counted.StartJoinDelay(now.Add(-time.Hour))
	for at := now.Add(-time.Hour); !at.After(now); at = at.Add(time.Minute) {
		d.peers.counted.Update(at, []string{"e"}, nil)
	}
	d.peers.router = relay.NewRouter(d.peers, sender, nil)
	var err error
	d.metrics, err = NewMetrics(noop.Meter{}, d)
	must.NoError(t, err)
	return d
}

type searchScenario struct {
	faults   [][]backend.Fault
	queries  []searchStep
	noMaps   bool
	strict   bool
	full     bool
	coverage float64
}

type searchStep struct {
	query    string
	deadline time.Duration
}

// Replicas and shards of the scenarios.
const (
	searchShards   = 2
	searchReplicas = 4
)

func genSearchScenario() *rapid.Generator[searchScenario] {
	fault := rapid.Custom(func(t *rapid.T) backend.Fault {
		modes := append(backend.FaultModes(), backend.FaultRefuse, backend.FaultRefuse, backend.FaultRefuse)
		return backend.Fault{Mode: rapid.SampledFrom(modes).Draw(t, "mode"), DelayMS: rapid.SampledFrom([]int64{0, 0, 30}).Draw(t, "delay")}
	})
	refuse := rapid.Just([]backend.Fault{{Mode: backend.FaultRefuse}, {Mode: backend.FaultRefuse}, {Mode: backend.FaultRefuse}})
	step := rapid.Custom(func(t *rapid.T) searchStep {
		return searchStep{
			query:    rapid.SampledFrom([]string{"item", "item", "item", backend.CrashQuery}).Draw(t, "query"),
			deadline: rapid.SampledFrom([]time.Duration{time.Millisecond, 20 * time.Millisecond, time.Second}).Draw(t, "deadline"),
		}
	})
	return rapid.Custom(func(t *rapid.T) searchScenario {
		faults := rapid.OneOf(rapid.SliceOfN(fault, 0, 4), refuse)
		if rapid.IntRange(0, 3).Draw(t, "all refuse") == 0 {
			faults = refuse
		}
		return searchScenario{
			faults:   rapid.SliceOfN(faults, searchReplicas, searchReplicas).Draw(t, "faults"),
			queries:  rapid.SliceOfN(step, 1, 4).Draw(t, "queries"),
			noMaps:   rapid.IntRange(0, 7).Draw(t, "no maps") == 0,
			strict:   rapid.Bool().Draw(t, "strict"),
			full:     rapid.IntRange(0, 3).Draw(t, "full") == 0,
			coverage: rapid.SampledFrom([]float64{0.1, 1}).Draw(t, "coverage"),
		}
	})
}

// startSearch starts the replicas and lets the daemon learn them.
func (s searchScenario) startSearch(t *testing.T, fleet *memfleet.Fleet, d *Daemon) {
	var vms []vmlist.VM
	for i := range s.faults {
		id := fmt.Sprint("r", i)
		vms = append(vms, vmlist.VM{ID: id, Role: vmlist.RoleBackend, Service: "shop", Address: id, State: vmlist.StateLive})
	}
	d.registry.SetVMList(vms)
	for i, faults := range s.faults {
		set := backend.Default()
		set.Replica, set.Service, set.Shards, set.Shard = fmt.Sprint("r", i), "shop", searchShards, i%searchShards
		// The service time is random and not drawn from the scenario's seed.
		set.ServiceTime = 0
		server := fleet.Start(set)
		server.Apply(backend.Control{Faults: faults})
		d.registry.SetLoad(set.Replica, server.Load(), time.Now())
		d.registry.SetConnectionShare(set.Replica, 1)
		if !s.noMaps {
			must.NoError(t, d.catalogue("shop").AddMapFrom(set.Replica, snapshot.NewUniformMap(set.MapVersion, "shop", searchShards)))
		}
	}
	d.updateCatalogue("shop")
	for s.full {
		if _, ok := d.registry.Pick("shop", snapshot.Version{}, "", nil); !ok {
			return
		}
	}
}

func ranOn(fleet *memfleet.Fleet) (ran int64) {
	for _, s := range fleet.Servers() {
		ran += s.Counters().Ran
	}
	return ran
}

// runSearches sends the queries one after another and compares each outcome with the backend servers' counters.
func runSearches(t *testing.T, s searchScenario, kinds map[api.Kind]int) error {
	fleet := memfleet.New()
	daemon := fleet.NewDaemon()
	d := searchDaemon(t, daemon)
	s.startSearch(t, fleet, d)
	p := activeProfile{Profile: profile.Profile{Name: "p", Share: 1, MinCoverage: s.coverage, Partial: profile.PartialReturn}}
	p.Retry.MaxAttempts, p.Retry.Budget = 3, 1
	if s.strict {
		p.Snapshot = profile.SnapshotRequireComplete
	}
	var failure error
	for i, step := range s.queries {
		before := ranOn(fleet)
		ctx, cancel := context.WithTimeout(t.Context(), step.deadline)
		_, err := d.search(ctx, fmt.Sprint("request-", i), api.Query{Service: "shop", Query: step.query}, p)
		cancel()
		// Attempts that were open when the query ended may still run.
		testseed.Wait(time.Minute)
		if err == nil {
			continue
		}
		kind := api.KindOf(err)
		kinds[kind]++
		if ran := ranOn(fleet) - before; kind.Outcome().Run == api.RunNever && ran > 0 {
			failure = fmt.Errorf("query %d: %w after %d executions", i, err, ran)
		}
	}
	daemon.Close()
	fleet.Stop()
	return failure
}

// Guards against a search whose error says run: never although a backend server executed a part of it. Replicas
// refuse, crash, close, cut, delay or repeat answers; some fleets have no snapshot or no replica with room.
func TestSearchNeverRun(t *testing.T) {
	fewerChecks(t, "600")
	gen, kinds := genSearchScenario(), map[api.Kind]int{}
	rapid.Check(t, func(rt *rapid.T) {
		s := gen.Draw(rt, "scenario")
		var err error
		synctest.Test(t, func(t *testing.T) { err = runSearches(t, s, kinds) })
		if err != nil {
			rt.Fatal(err)
		}
	})
	t.Logf("outcomes by kind: %v", kinds)
	for _, kind := range []api.Kind{api.Overloaded, api.NoSnapshot, api.BackendRefused, api.CoverageTooLow} {
		must.Positive(t, kinds[kind], must.Sprint(kind))
	}
}

// Guards against a shard map that is taken from the first replica that answers: one of five replicas holds other
// contents under the same map version, and the daemon has to bind queries to the contents of the majority.
func TestMapIsCollectedFromEachReplica(t *testing.T) {
	for odd := range 5 {
		d := searchDaemon(t, nil)
		d.clients, d.set.ConnectionsPerReplica = make(map[string]*client.Client), 10
		var vms []vmlist.VM
		for i := range 5 {
			set := backend.Default()
			set.Replica, set.Service, set.Shards, set.Shard = fmt.Sprint("r", i), "shop", searchShards, i%searchShards
			if i == odd {
				set.Shards = searchShards + 1
			}
			server := httptest.NewServer(backend.NewServer(set, 1, func() {}).Handler())
			defer server.Close()
			address := server.Listener.Addr().String()
			vms = append(vms, vmlist.VM{ID: set.Replica, Role: vmlist.RoleBackend, Service: "shop", Address: address, State: vmlist.StateLive})
		}
		d.registry.SetVMList(vms)
		for _, vm := range vms {
			d.pollLoad(t.Context(), replica.Replica{ID: vm.ID, Service: vm.Service, Address: vm.Address})
		}
		d.updateCatalogue("shop")
		_, bound, err := d.bind(api.Query{Service: "shop"}, activeProfile{})
		must.NoError(t, err, must.Sprint("odd replica ", odd))
		must.SliceLen(t, searchShards, bound.Shards, must.Sprint("odd replica ", odd))
		for _, c := range d.clients {
			c.Close()
		}
	}
}
