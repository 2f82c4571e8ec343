package capacity

import (
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"time"
)

// Resource limits of the process.
const (
	// Workers is the number of cores that the process uses.
	Workers = 4
	// memoryLimit is the soft limit of the garbage collector, which keeps the process below 4 GiB.
	memoryLimit = 3 << 30
)

// Job describes one fleet and the events to measure.
type Job struct {
	Nodes int
	Seed  uint64
	// Times is how often each event of an ordinary day is repeated.
	Times int
	// Ordinary adds the events of an ordinary day and the update hour, Rack and Centre the loss and return of a rack
	// and of a data centre, Cut the network partition between regions.
	Ordinary, Rack, Centre, Cut bool
}

// Result holds the measurements of one job.
type Result struct {
	Job
	Quiet    Traffic
	Outcomes map[Event]Outcome
	Wall     time.Duration
}

// Sizes are the fleet sizes of the full plan.
var Sizes = []int{7, 50, 100, 350, 700, TargetNodes}

// LargePlan returns the large outages at the two-year size, which take too long for the full run.
func LargePlan() []Job {
	return []Job{{Nodes: TargetNodes, Seed: 1, Centre: true}, {Nodes: TargetNodes, Seed: 1, Rack: true}}
}

// Plan returns the jobs of the full run, the longest first. It omits large outages of the largest fleet and further
// seeds of the two largest fleets, because they would exceed the limits of time and memory.
func Plan() []Job {
	jobs := []Job{
		{Nodes: TargetNodes, Seed: 1, Times: 2, Ordinary: true},
		{Nodes: 700, Seed: 1, Cut: true},
		{Nodes: 700, Seed: 1, Times: 3, Ordinary: true, Centre: true},
		{Nodes: 700, Seed: 2, Times: 3, Ordinary: true, Rack: true},
		{Nodes: 350, Seed: 1, Times: 5, Ordinary: true, Rack: true, Centre: true, Cut: true},
		{Nodes: 350, Seed: 2, Times: 5, Ordinary: true, Rack: true, Centre: true, Cut: true},
	}
	for _, n := range []int{100, 50} {
		for seed := uint64(1); seed <= 3; seed++ {
			jobs = append(jobs, Job{Nodes: n, Seed: seed, Times: 10, Ordinary: true, Centre: true, Cut: true})
		}
	}
	// Only two repetitions of each event, because the nodes that leave and fail are restarted only afterwards.
	for seed := uint64(1); seed <= 5; seed++ {
		jobs = append(jobs, Job{Nodes: 7, Seed: seed, Times: 2, Ordinary: true, Cut: true})
	}
	return jobs
}

// Limit applies the limits of cores and memory to the process.
func Limit() {
	runtime.GOMAXPROCS(Workers)
	debug.SetMemoryLimit(memoryLimit)
}

// MeasureCosts measures the costs of all fleet sizes, one after the other.
func MeasureCosts(sizes []int) []Cost {
	costs := make([]Cost, len(sizes))
	for i, n := range sizes {
		costs[i] = MeasureCost(n, 1)
	}
	return costs
}

// RunJobs runs the jobs, Workers at a time, and returns the results sorted by size and seed. done is called after each
// job, by one goroutine at a time.
func RunJobs(jobs []Job, done func(Result)) []Result {
	var mu sync.Mutex
	var results []Result
	var group sync.WaitGroup
	queue := make(chan Job)
	for range Workers {
		group.Go(func() {
			for job := range queue {
				r := run(job)
				mu.Lock()
				results = append(results, r)
				done(r)
				mu.Unlock()
			}
		})
	}
	for _, job := range jobs {
		queue <- job
	}
	close(queue)
	group.Wait()
	slices.SortFunc(results, func(a, b Result) int {
		if a.Nodes != b.Nodes {
			return a.Nodes - b.Nodes
		}
		return int(a.Seed) - int(b.Seed)
	})
	return results
}

// run measures one job. Each group of events starts the nodes again that it stopped, so that
// the fleet is complete before the next group.
func run(job Job) Result {
	begin := time.Now()
	f := NewFleet(job.Nodes, job.Seed)
	f.net.Advance(warmupPeriod)
	r := Result{Job: job, Quiet: f.measureTraffic(quietPeriod)}
	r.Outcomes = make(map[Event]Outcome)
	if job.Ordinary {
		r.Outcomes = f.measureOrdinaryDay(job.Times, r.Quiet)
		r.Outcomes[SignalStorm] = f.measureUpdateHour(r.Quiet)
	}
	if job.Rack {
		rack := f.nodesOfFirstDataCentre(nodesPerRack)
		r.Outcomes[Rack] = f.measureNodeLoss(rack, r.Quiet)
		r.Outcomes[RackBack] = f.measureNodeReturn(rack, r.Quiet)
	}
	if job.Centre {
		dataCentre := f.nodesOfFirstDataCentre(len(f.running))
		r.Outcomes[Centre] = f.measureNodeLoss(dataCentre, r.Quiet)
		r.Outcomes[CentreBack] = f.measureNodeReturn(dataCentre, r.Quiet)
	}
	if job.Cut {
		r.Outcomes[Cut], r.Outcomes[Merge] = f.measurePartition(r.Quiet)
	}
	r.Wall = time.Since(begin)
	return r
}
