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

// shardMaps are the shard maps of the successive index versions: two shards, split into four or merged into one.
var shardMaps = []snapshot.ShardMap{snapshot.NewUniformMap(1, "a", 2), snapshot.NewUniformMap(2, "b", 4), snapshot.NewUniformMap(3, "c", 1)}

// shardsOfHalf returns the shards of a map that a replica of one half of the key space serves. If the map has a
// single shard, both halves serve it.
func shardsOfHalf(half int, index int64, m snapshot.ShardMap) []standin.ServedShard {
	var served []standin.ServedShard
	for i, s := range m.Shards {
		if len(m.Shards) == 1 || i*2/len(m.Shards) == half {
			served = append(served, standin.ServedShard{IndexVersion: index, ShardMap: m, Shard: s.ID})
		}
	}
	return served
}

type rollout struct {
	at time.Duration
	// next is the index in shardMaps after the rollout; overlap is the period in which the replica serves both the old
	// and the new version.
	overlap time.Duration
	next    int
}

type query struct {
	at, deadline, hedge time.Duration
}

type searchScenario struct {
	rollouts []rollout
	faults   [][]standin.Fault
	queries  []query
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
		next := rapid.IntRange(1, len(shardMaps)-1).Draw(t, "next")
		for range 4 {
			s.rollouts = append(s.rollouts, rollout{
				at: ms(60, 200, 330, 500).Draw(t, "at"), overlap: ms(0, 40, 150, 400).Draw(t, "both"), next: next,
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

// searchResult holds the result of a query and the time at which it was returned.
type searchResult struct {
	request string
	version snapshot.Version
	m       snapshot.ShardMap
	records []api.Record
	cov     api.Coverage
	at      time.Time
}

// attempt sends one sub-request and adds its result to the merge.
func attempt(ctx context.Context, fleet *memfleet.Fleet, daemon *memfleet.Daemon, merge *coverage.Merge, sub backend.SubRequest,
	exclude []string) bool {
	target, ok := fleet.Pick(service, sub.Version, sub.Shard, exclude)
	if !ok {
		return false
	}
	response, err := daemon.Send(ctx, target.ID, sub)
	if err != nil {
		return false
	}
	result, err := merge.Shard(sub.Shard).Check(response)
	if err != nil {
		return false
	}
	result.Add()
	return true
}

// search sends two attempts per shard, the second as a hedge or a retry. It does not cancel the slower one, so that
// duplicate and late results occur. It returns when each shard is answered or has failed.
func search(ctx context.Context, fleet *memfleet.Fleet, daemon *memfleet.Daemon, request string, q query, v snapshot.Version,
	m snapshot.ShardMap, background *sync.WaitGroup) searchResult {
	ctx, cancel := context.WithTimeout(ctx, q.deadline)
	merge := coverage.NewMerge(v, m)
	var shards sync.WaitGroup
	for _, s := range m.Shards {
		results := make(chan bool, 2)
		for i, delay := range []time.Duration{0, q.hedge} {
			sub := backend.SubRequest{Service: service, Request: request, Attempt: fmt.Sprintf("%s/%s/%d", request, s.ID, i),
				Version: v, Shard: s.ID}
			background.Go(func() {
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
	a := searchResult{request: request, version: v, m: m, at: time.Now()}
	a.records, a.cov = merge.Close()
	background.Go(func() {
		// The slower attempts continue for a short time after the merge is closed, so that late results occur,
		// before their context is cancelled.
		<-time.After(30 * time.Millisecond)
		cancel()
	})
	return a
}

func runSearch(s searchScenario) ([]searchResult, []standin.SentAnswer) {
	fleet := memfleet.New()
	for i, st := range s.rollouts {
		set := standin.Default()
		set.Replica, set.Service, set.Shards, set.ServiceTime, set.ItemCount = fmt.Sprintf("r%d", i), service, 2, 0, 40
		server := fleet.Start(set)
		half := i / 2
		server.ApplyControl(standin.Control{ServedShards: shardsOfHalf(half, 1, shardMaps[0]), Faults: s.faults[i]})
		next := shardsOfHalf(half, 2, shardMaps[st.next])
		time.AfterFunc(st.at, func() {
			server.ApplyControl(standin.Control{ServedShards: append(shardsOfHalf(half, 1, shardMaps[0]), next...)})
		})
		time.AfterFunc(st.at+st.overlap, func() { server.ApplyControl(standin.Control{ServedShards: next}) })
	}
	daemon := fleet.NewDaemon()
	answers := make([]searchResult, len(s.queries))
	var wg, background sync.WaitGroup
	catalogue := snapshot.NewCatalogue()
	for _, m := range shardMaps {
		_ = catalogue.AddMap(m)
	}
	var mu sync.Mutex
	stop := make(chan struct{})
	background.Go(func() {
		for {
			mu.Lock()
			catalogue.SelectSnapshot(fleet.Holdings())
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
			answers[i] = search(context.Background(), fleet, daemon, fmt.Sprintf("q%d", i), q, v, m, &background)
		})
	}
	wg.Wait()
	close(stop)
	background.Wait()
	daemon.Close()
	var sent []standin.SentAnswer
	for _, server := range fleet.Servers() {
		sent = append(sent, server.SentAnswers()...)
	}
	fleet.Stop()
	return answers, sent
}

// checkSearch recomputes the coverage and the records from what the replicas sent in time.
func checkSearch(a searchResult, sent []standin.SentAnswer) error {
	var fraction float64
	keys := map[string]bool{}
	total := 0
	for _, s := range a.m.Shards {
		var sentBefore, sentByEnd bool
		var records []backend.Record
		for _, x := range sent {
			if x.Request == a.request && x.Shard == s.ID && x.Version == a.version && !x.At.After(a.at) {
				sentByEnd, sentBefore, records = true, sentBefore || x.At.Before(a.at), x.Records
			}
		}
		included := slices.Contains(a.cov.Included, s.ID)
		missing := slices.ContainsFunc(a.cov.Missing, func(m api.MissingShard) bool { return m.Shard == s.ID })
		switch {
		case included == missing:
			return fmt.Errorf("%s: shard %s is included: %v, missing: %v", a.request, s.ID, included, missing)
		case included && !sentByEnd:
			return fmt.Errorf("%s: shard %s is included, but no replica sent it in time", a.request, s.ID)
		case !included && sentBefore:
			return fmt.Errorf("%s: shard %s is missing, although a replica sent it in time", a.request, s.ID)
		}
		if included {
			fraction += float64(s.High-s.Low) / float64(snapshot.KeySpace)
			total += len(records)
		}
	}
	for _, r := range a.records {
		if keys[r.Key] {
			return fmt.Errorf("%s: record %s is included twice", a.request, r.Key)
		}
		keys[r.Key] = true
		if r.Value != fmt.Sprintf("v%d", a.version.Index) || !slices.Contains(a.cov.Included, r.Shard) {
			return fmt.Errorf("%s: record %+v does not belong to the response for %s", a.request, r, a.version)
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

// TestSearchDuringRollouts guards against mixed snapshots, wrong coverage, key ranges that are counted twice and
// responses to other requests. Meanwhile, the replicas roll out an index version with split or merged shards, and
// responses are truncated, duplicated, late, reordered, undecodable or of a wrong version.
func TestSearchDuringRollouts(t *testing.T) {
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
