package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/chivemill/chivemill/deployment"
	"github.com/chivemill/chivemill/internal/standin/backend"
	"github.com/chivemill/chivemill/loadgen"
)

const (
	// query matches matchingRecords of the stand-ins' 200 records.
	query           = "item-00"
	matchingRecords = 100
	// maxPhase bounds the length of a phase.
	maxPhase = 60 * time.Second
	warmUp   = 2 * time.Second
)

// run is one measurement.
type run struct {
	stand    *stand
	dir      string
	balancer *balancer
	scraper  *scraper
	search   deployment.Service
	order    deployment.Service

	phases []measured
	broken []string
	orders []loadgen.Sample
	// reported is the number of lines of each replica's report that belong to earlier phases.
	reported map[string]int
}

// measured is what one phase showed.
type measured struct {
	name            string
	elapsed         time.Duration
	search, order   *loadgen.Result
	samples, orders []loadgen.Sample
	// daemons holds the increases of each daemon's counters.
	daemons []series
	gauges  []series
	peaks   map[string]int
	// late counts sub-requests by second after the stop signal of the replica.
	late []int
	// abandoned counts sub-requests that ended before their answer by replica and stage, since the start of the
	// replica.
	abandoned map[string]string
	notes     []string
	load      string
}

func newRun(s *stand, dir string) (*run, error) {
	r := &run{
		stand: s, dir: dir, balancer: newBalancer(s.callers()), scraper: newScraper(s.operators()),
		reported: make(map[string]int),
	}
	var err error
	if r.search, err = s.service(s.options.service, deployment.KindSearch); err != nil {
		return nil, err
	}
	r.order, err = s.service("", deployment.KindOrder)
	return r, err
}

// run waits until the fleet serves and carries out the phases.
func (r *run) run(ctx context.Context, phases []phase) error {
	background, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { r.balancer.run(background) })
	wg.Go(func() { r.scraper.run(background) })
	daemons := len(r.stand.plan.Entries)
	err := until(ctx, startTimeout, "every entry daemon is ready", func() bool { return len(r.balancer.in()) == daemons })
	if err != nil {
		return err
	}
	if _, err := r.accepted(ctx, len(r.stand.plan.Backends)); err != nil {
		return err
	}
	warm := phase{name: "warm-up", disturb: func(ctx context.Context, _ *run, _ *measured) error { return pause(ctx, warmUp) }}
	if _, err := r.phase(ctx, warm, 0); err != nil {
		return err
	}
	for i, p := range phases {
		m, err := r.phase(ctx, p, uint64(i)+1)
		if err != nil {
			return eris.Wrapf(err, "phase %s", p.name)
		}
		m.print(r)
		r.phases = append(r.phases, m)
	}
	r.printTables()
	return nil
}

// phase sends load while the phase's disturbance goes on.
func (r *run) phase(ctx context.Context, p phase, number uint64) (measured, error) {
	m := measured{name: p.name, load: loadAverage()}
	if err := r.resetPeaks(); err != nil {
		return m, err
	}
	r.scraper.scrapeAll(ctx)
	before, _ := r.scraper.totals()
	begin := time.Now()
	stop := make(chan struct{})
	seed := r.stand.options.seed*1000 + number*10
	group, loadCtx := errgroup.WithContext(ctx)
	group.Go(func() (err error) {
		plan := r.plan(r.search.Name, r.stand.options.rate, seed, stop, collect(&m.samples))
		m.search, err = loadgen.Run(loadCtx, plan)
		return err
	})
	group.Go(func() (err error) {
		plan := r.plan(r.order.Name, r.stand.options.orderRate, seed+1, stop, collect(&m.orders))
		plan.NonIdempotent, plan.Queries = true, []string{"plate"}
		m.order, err = loadgen.Run(loadCtx, plan)
		return err
	})
	err := p.disturb(ctx, r, &m)
	close(stop)
	if loadErr := group.Wait(); err == nil {
		err = loadErr
	}
	if err != nil {
		return m, err
	}
	m.elapsed = time.Since(begin)
	r.scraper.scrapeAll(ctx)
	after, gauges := r.scraper.totals()
	m.daemons, m.gauges = differences(before, after), gauges
	r.orders = append(r.orders, m.orders...)
	r.broken = append(r.broken, brokenAnswers(append(append([]loadgen.Sample{}, m.samples...), m.orders...), matchingRecords)...)
	if err := r.readReplicas(&m); err != nil {
		return m, err
	}
	return m, m.write(filepath.Join(r.dir, "failures-"+p.name+".txt"))
}

func (r *run) plan(service string, rate float64, seed uint64, stop <-chan struct{}, observe func(loadgen.Sample)) loadgen.Plan {
	return loadgen.Plan{
		Service: service, Queries: []string{query}, Rate: rate, Duration: maxPhase, Seed: seed,
		Target: r.balancer.target, Stop: stop, Observe: observe,
	}
}

// collect returns a function that appends samples and is safe for concurrent use.
func collect(samples *[]loadgen.Sample) func(loadgen.Sample) {
	var mu sync.Mutex
	return func(s loadgen.Sample) {
		mu.Lock()
		defer mu.Unlock()
		*samples = append(*samples, s)
	}
}

func differences(before, after []series) []series {
	result := make([]series, len(after))
	for i := range after {
		result[i] = maps.Clone(after[i])
		for key, value := range before[i] {
			result[i][key] -= value
		}
	}
	return result
}

// resetPeaks starts new peaks of connections on all replicas.
func (r *run) resetPeaks() error {
	var group errgroup.Group
	for _, b := range r.stand.plan.Backends {
		group.Go(func() error {
			return r.stand.put("http://"+b.Listen+backend.PathControl, backend.Control{ResetPeak: true})
		})
	}
	return group.Wait()
}

// readReplicas reads the counters of the running replicas and of those that ended in the phase.
func (r *run) readReplicas(m *measured) error {
	m.peaks, m.abandoned = make(map[string]int), make(map[string]string)
	reports := make(map[string][]backend.Counters)
	for _, b := range r.stand.plan.Backends {
		var live backend.Counters
		if err := r.stand.get("http://"+b.Listen+backend.PathCounters, &live); err != nil {
			return err
		}
		all, err := readLines[backend.Counters](b.Report)
		if err != nil {
			return err
		}
		reports[b.Replica] = append(all[r.reported[b.Replica]:], live)
		r.reported[b.Replica] = len(all)
		for _, c := range reports[b.Replica] {
			if len(c.Abandoned) > 0 && b.Service == r.search.Name {
				m.abandoned[b.Replica] = fmt.Sprint(c.Abandoned)
			}
			m.peaks[b.Replica] = max(m.peaks[b.Replica], c.PeakConnections)
			for second, n := range c.WorkAfterDrain {
				for len(m.late) <= second {
					m.late = append(m.late, 0)
				}
				m.late[second] += n
			}
		}
	}
	r.broken = append(r.broken, brokenDrains(reports)...)
	return nil
}

// accepted waits until every daemon takes the number of replicas as accepting work and returns the time it took.
func (r *run) accepted(ctx context.Context, want int) (time.Duration, error) {
	begin := time.Now()
	err := until(ctx, startTimeout, fmt.Sprintf("every daemon sees %d replicas that accept work", want), func() bool {
		for i := range r.stand.plan.Entries {
			now, err := r.scraper.scrape(ctx, i)
			if err != nil || int(now.sum("chivemill_backend_replicas", `accepts="true"`)) != want {
				return false
			}
		}
		return true
	})
	return time.Since(begin), err
}

// verdict prints the broken promises and returns an error if there are any.
func (r *run) verdict() error {
	executions, err := r.stand.executions()
	if err != nil {
		return err
	}
	r.broken = append(r.broken, brokenOrders(r.orders, executions)...)
	fmt.Printf("orders sent %d, executed keys %d\n", len(r.orders), len(executions))
	for _, b := range r.broken[:min(len(r.broken), 40)] {
		fmt.Println("BROKEN", b)
	}
	if len(r.broken) > 0 {
		return eris.Errorf("%d promises broke", len(r.broken))
	}
	fmt.Println("no promise broke")
	return nil
}

func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(data))[:3], " ")
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
