package capacity

import (
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"time"
)

// Limits of a run on the machine.
const (
	// Workers is the number of cores that a run uses.
	Workers = 4
	// memoryLimit makes the garbage collector keep the process below 4 GiB.
	memoryLimit = 3 << 30
)

// Job is one fleet whose events are measured.
type Job struct {
	Nodes int
	Seed  uint64
	// Times is how often each event of an ordinary day is repeated.
	Times int
	// Ordinary adds the events of an ordinary day and the update hour, Rack and Centre the loss and return of a rack
	// and of a data centre, Cut the cut between regions.
	Ordinary, Rack, Centre, Cut bool
}

// Result is what one job measured.
type Result struct {
	Job
	Quiet    Traffic
	Outcomes map[Event]Outcome
	Wall     time.Duration
}

// Sizes are the fleet sizes of the full plan.
var Sizes = []int{7, 50, 100, 350, 700, TargetNodes}

// LargePlan returns the bad events of the two-year size, which do not fit the time of the full run.
func LargePlan() []Job {
	return []Job{{Nodes: TargetNodes, Seed: 1, Centre: true}, {Nodes: TargetNodes, Seed: 1, Rack: true}}
}

// Plan returns the jobs of the full run, the longest first. Bad events of the largest fleet and further seeds of the
// two largest ones are left out, because they would not fit the limits of time and memory.
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
	// Few events at a time, because the nodes that leave and fail come back only afterwards.
	for seed := uint64(1); seed <= 5; seed++ {
		jobs = append(jobs, Job{Nodes: 7, Seed: seed, Times: 2, Ordinary: true, Cut: true})
	}
	return jobs
}

// Limit sets the limits of cores and memory for the process.
func Limit() {
	runtime.GOMAXPROCS(Workers)
	debug.SetMemoryLimit(memoryLimit)
}

// MeasureCosts measures the costs of all sizes one after the other.
func MeasureCosts(sizes []int) []Cost {
	costs := make([]Cost, len(sizes))
	for i, n := range sizes {
		costs[i] = MeasureCost(n, 1)
	}
	return costs
}

// RunJobs measures the jobs, as many at a time as there are workers, and returns the results by size and seed. done
// is called after each job, by one goroutine at a time.
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

// run measures one job. The order of the events keeps the fleet whole: what is lost comes back.
func run(job Job) Result {
	begin := time.Now()
	f := NewFleet(job.Nodes, job.Seed)
	f.net.Advance(warmUp)
	r := Result{Job: job, Quiet: f.span(quietSpan)}
	r.Outcomes = make(map[Event]Outcome)
	if job.Ordinary {
		r.Outcomes = f.ordinary(job.Times, r.Quiet)
		r.Outcomes[SignalStorm] = f.storm(r.Quiet)
	}
	if job.Rack {
		rack := f.inCentre(rackNodes)
		r.Outcomes[Rack] = f.lose(rack, r.Quiet)
		r.Outcomes[RackBack] = f.back(rack, r.Quiet)
	}
	if job.Centre {
		centre := f.inCentre(len(f.running))
		r.Outcomes[Centre] = f.lose(centre, r.Quiet)
		r.Outcomes[CentreBack] = f.back(centre, r.Quiet)
	}
	if job.Cut {
		r.Outcomes[Cut], r.Outcomes[Merge] = f.cutAndMerge(r.Quiet)
	}
	r.Wall = time.Since(begin)
	return r
}
