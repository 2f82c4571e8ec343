package coverage_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/coverage"
	standin "github.com/chivemill/chivemill/internal/standin/backend"
	"github.com/chivemill/chivemill/internal/standin/memfleet"
	"github.com/chivemill/chivemill/internal/testseed"
	"github.com/chivemill/chivemill/snapshot"
)

func TestMain(m *testing.M) { testseed.Main(m, 500) }

const service = "shop"

// plans are the maps that the replicas roll through: two shards, split into four, and merged into one.
var plans = []snapshot.Map{snapshot.Uniform(1, "a", 2), snapshot.Uniform(2, "b", 4), snapshot.Uniform(3, "c", 1)}

// heldBy returns what a replica of one half of the key space serves under a map: its half, or all.
func heldBy(half int, index int64, m snapshot.Map) []standin.Held {
	var held []standin.Held
	for i, s := range m.Shards {
		if len(m.Shards) == 1 || i*2/len(m.Shards) == half {
			held = append(held, standin.Held{Index: index, Map: m, Shard: s.ID})
		}
	}
	return held
}

type stage struct {
	at time.Duration
	// next is the plan after the roll; both is the time in which the replica serves old and new.
	both time.Duration
	next int
}

type query struct {
	at, deadline, hedge time.Duration
}

type searchScenario struct {
	stages  []stage
	faults  [][]standin.Fault
	queries []query
}

func genSearch() *rapid.Generator[searchScenario] {
	ms := func(values ...int) *rapid.Generator[time.Duration] {
		return rapid.Map(rapid.SampledFrom(values), func(v int) time.Duration { return time.Duration(v) * time.Millisecond })
	}
	fault := rapid.Custom(func(t *rapid.T) standin.Fault {
		return standin.Fault{
			Mode:    rapid.SampledFrom(standin.FaultModes()).Draw(t, "mode"),
			DelayMS: rapid.SampledFrom([]int64{0, 0, 0, 11, 47, 90, 400}).Draw(t, "delay"),
		}
	})
	return rapid.Custom(func(t *rapid.T) searchScenario {
		s := searchScenario{faults: rapid.SliceOfN(rapid.SliceOfN(fault, 0, 8), 4, 4).Draw(t, "faults")}
		next := rapid.IntRange(1, len(plans)-1).Draw(t, "next")
		for range 4 {
			s.stages = append(s.stages, stage{
				at: ms(60, 200, 330, 500).Draw(t, "at"), both: ms(0, 40, 150, 400).Draw(t, "both"), next: next,
			})
		}
		s.queries = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) query {
			return query{
				at: ms(55, 110, 205, 333, 420, 600, 900).Draw(t, "at"), deadline: ms(50, 95, 300).Draw(t, "deadline"),
				hedge: ms(5, 20, 45).Draw(t, "hedge"),
			}
		}), 1, 8).Draw(t, "queries")
		return s
	})
}

// answer is what a query returned and when.
type searchAnswer struct {
	request string
	version snapshot.Version
	m       snapshot.Map
	records []api.Record
	cov     api.Coverage
	at      time.Time
}

// attempt sends one sub-request and adds its result.
func attempt(ctx context.Context, fleet *memfleet.Fleet, daemon *memfleet.Daemon, merge *coverage.Merge, sub backend.Sub, exclude []string) bool {
	target, ok := fleet.Pick(service, sub.Version, sub.Shard, exclude)
	if !ok {
		return false
	}
	got, err := daemon.Send(ctx, target.ID, sub)
	if err != nil {
		return false
	}
	result, err := merge.Ticket(sub.Shard).Check(got)
	if err != nil {
		return false
	}
	result.Add()
	return true
}

// search sends two attempts per shard, the second as a hedge or retry, and does not cancel the loser, so that
// duplicate and late results occur. It returns when each shard is answered or given up.
func search(ctx context.Context, fleet *memfleet.Fleet, daemon *memfleet.Daemon, request string, q query, v snapshot.Version, m snapshot.Map, rest *sync.WaitGroup) searchAnswer {
	ctx, cancel := context.WithTimeout(ctx, q.deadline)
	merge := coverage.NewMerge(v, m)
	var shards sync.WaitGroup
	for _, s := range m.Shards {
		results := make(chan bool, 2)
		for i, delay := range []time.Duration{0, q.hedge} {
			sub := backend.Sub{Service: service, Request: request, Attempt: fmt.Sprintf("%s/%s/%d", request, s.ID, i), Version: v, Shard: s.ID}
			rest.Go(func() {
				select {
				case <-time.After(delay):
				case <-ctx.Done():
				}
				var exclude []string
				if i == 1 {
					exclude = []string{"r0", "r2"}
				}
				results <- attempt(ctx, fleet, daemon, merge, sub, exclude)
			})
		}
		shards.Go(func() {
			if !<-results {
				<-results
			}
		})
	}
	shards.Wait()
	a := searchAnswer{request: request, version: v, m: m, at: time.Now()}
	a.records, a.cov = merge.Close()
	rest.Go(func() {
		// The losers run on for a moment, as late results do, before their contexts end.
		<-time.After(30 * time.Millisecond)
		cancel()
	})
	return a
}

func runSearch(s searchScenario) ([]searchAnswer, []standin.Sent) {
	fleet := memfleet.New()
	for i, st := range s.stages {
		set := standin.Default()
		set.Replica, set.Service, set.Shards, set.ServiceTime, set.Items = fmt.Sprintf("r%d", i), service, 2, 0, 40
		server := fleet.Start(set)
		half := i / 2
		server.Apply(standin.Control{Held: heldBy(half, 1, plans[0]), Faults: s.faults[i]})
		next := heldBy(half, 2, plans[st.next])
		time.AfterFunc(st.at, func() { server.Apply(standin.Control{Held: append(heldBy(half, 1, plans[0]), next...)}) })
		time.AfterFunc(st.at+st.both, func() { server.Apply(standin.Control{Held: next}) })
	}
	daemon := fleet.NewDaemon()
	answers := make([]searchAnswer, len(s.queries))
	var wg, rest sync.WaitGroup
	catalogue := snapshot.NewCatalogue()
	for _, m := range plans {
		_ = catalogue.AddMap(m)
	}
	var mu sync.Mutex
	stop := make(chan struct{})
	rest.Go(func() {
		for {
			mu.Lock()
			catalogue.Update(fleet.Holdings())
			mu.Unlock()
			select {
			case <-time.After(50 * time.Millisecond):
			case <-stop:
				return
			}
		}
	})
	for i, q := range s.queries {
		wg.Go(func() {
			<-time.After(q.at + time.Duration(i)*time.Microsecond)
			mu.Lock()
			v, m, _ := catalogue.Current()
			mu.Unlock()
			answers[i] = search(context.Background(), fleet, daemon, fmt.Sprintf("q%d", i), q, v, m, &rest)
		})
	}
	wg.Wait()
	close(stop)
	rest.Wait()
	daemon.Close()
	var sent []standin.Sent
	for _, server := range fleet.Servers() {
		sent = append(sent, server.Sent()...)
	}
	fleet.Stop()
	return answers, sent
}

// checkSearch recomputes the coverage and the records from what the replicas sent in time.
func checkSearch(a searchAnswer, sent []standin.Sent) error {
	var fraction float64
	keys := map[string]bool{}
	total := 0
	for _, s := range a.m.Shards {
		var before, until bool
		var records []backend.Record
		for _, x := range sent {
			if x.Request == a.request && x.Shard == s.ID && x.Version == a.version && !x.At.After(a.at) {
				until, before, records = true, before || x.At.Before(a.at), x.Records
			}
		}
		included := slices.Contains(a.cov.Included, s.ID)
		missing := slices.ContainsFunc(a.cov.Missing, func(m api.MissingShard) bool { return m.Shard == s.ID })
		switch {
		case included == missing:
			return fmt.Errorf("%s: shard %s is included: %v, missing: %v", a.request, s.ID, included, missing)
		case included && !until:
			return fmt.Errorf("%s: shard %s counts, but no replica sent it in time", a.request, s.ID)
		case !included && before:
			return fmt.Errorf("%s: shard %s was sent in time and is missing", a.request, s.ID)
		}
		if included {
			fraction += float64(s.High-s.Low) / float64(snapshot.KeySpace)
			total += len(records)
		}
	}
	for _, r := range a.records {
		if keys[r.Key] {
			return fmt.Errorf("%s: record %s counts twice", a.request, r.Key)
		}
		keys[r.Key] = true
		if r.Value != fmt.Sprintf("v%d", a.version.Index) || !slices.Contains(a.cov.Included, r.Shard) {
			return fmt.Errorf("%s: record %+v in an answer of %s", a.request, r, a.version)
		}
	}
	if total != len(a.records) || max(fraction-a.cov.Fraction, a.cov.Fraction-fraction) > 1e-9 {
		return fmt.Errorf("%s: %d records and coverage %v, expected %d and %v", a.request, len(a.records), a.cov.Fraction, total, fraction)
	}
	if a.cov.Complete != (len(a.cov.Missing) == 0) {
		return fmt.Errorf("%s: complete is %v with %d missing shards", a.request, a.cov.Complete, len(a.cov.Missing))
	}
	return nil
}

// Guards against mixed snapshots, wrong coverage, key ranges that count twice and answers of other requests, while
// replicas roll to another index version with split or merged shards and results are truncated, duplicated, late,
// reordered, undecodable or of a wrong version.
func TestSearchDuringRolls(t *testing.T) {
	gen := genSearch()
	complete, partial, versions := 0, 0, map[snapshot.Version]int{}
	rapid.Check(t, func(rt *rapid.T) {
		s := gen.Draw(rt, "scenario")
		var err error
		synctest.Test(t, func(*testing.T) {
			answers, sent := runSearch(s)
			for _, a := range answers {
				if checked := checkSearch(a, sent); checked != nil {
					err = checked
				}
				versions[a.version]++
				if a.cov.Complete {
					complete++
				} else {
					partial++
				}
			}
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
	t.Logf("%d complete and %d partial answers, snapshots %v", complete, partial, versions)
	must.Positive(t, complete)
	must.Positive(t, partial)
	must.Eq(t, 3, len(versions))
}
