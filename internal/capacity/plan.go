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
	// Repetitions is how often each event of an ordinary day is repeated.
	Repetitions int
	// OrdinaryDay adds the events of an ordinary day and the update hour, RackLoss and DataCentreLoss the loss and return
	// of a rack and of a data centre, Partition the network partition between regions.
	OrdinaryDay, RackLoss, DataCentreLoss, Partition bool
}

// Result holds the measurements of one job.
type Result struct {
	Job
	// Quiet is the traffic without events and without load.
	Quiet    Traffic
	Outcomes map[Event]Outcome
	WallTime time.Duration
}

// Sizes are the fleet sizes of the full plan.
var Sizes = []int{7, 50, 100, 350, 700, TargetNodes}

// LargeOutagePlan returns the large outages at the two-year size, which take too long for the full run.
func LargeOutagePlan() []Job {
	return []Job{{Nodes: TargetNodes, Seed: 1, DataCentreLoss: true}, {Nodes: TargetNodes, Seed: 1, RackLoss: true}}
}

// Plan returns the jobs of the full run, the longest first. It omits large outages of the largest fleet and further
// seeds of the two largest fleets, because they would exceed the limits of time and memory.
func Plan() []Job {
	jobs := []Job{
		{Nodes: TargetNodes, Seed: 1, Repetitions: 2, OrdinaryDay: true},
		{Nodes: 700, Seed: 1, Partition: true},
		{Nodes: 700, Seed: 1, Repetitions: 3, OrdinaryDay: true, DataCentreLoss: true},
		{Nodes: 700, Seed: 2, Repetitions: 3, OrdinaryDay: true, RackLoss: true},
		{Nodes: 350, Seed: 1, Repetitions: 5, OrdinaryDay: true, RackLoss: true, DataCentreLoss: true, Partition: true},
		{Nodes: 350, Seed: 2, Repetitions: 5, OrdinaryDay: true, RackLoss: true, DataCentreLoss: true, Partition: true},
	}
	for _, n := range []int{100, 50} {
		for seed := uint64(1); seed <= 3; seed++ {
			jobs = append(jobs, Job{Nodes: n, Seed: seed, Repetitions: 10, OrdinaryDay: true, DataCentreLoss: true, Partition: true})
		}
	}
	// Only two repetitions of each event, because the nodes that leave and fail are restarted only afterwards.
	for seed := uint64(1); seed <= 5; seed++ {
		jobs = append(jobs, Job{Nodes: 7, Seed: seed, Repetitions: 2, OrdinaryDay: true, Partition: true})
	}
	return jobs
}

// ApplyResourceLimits applies the limits of cores and memory to the process.
func ApplyResourceLimits() {
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
	if job.OrdinaryDay {
		r.Outcomes = f.measureOrdinaryDay(job.Repetitions, r.Quiet)
		r.Outcomes[UpdateHourSignal] = f.measureUpdateHour(r.Quiet)
	}
	if job.RackLoss {
		rack := f.nodesOfFirstDataCentre(nodesPerRack)
		r.Outcomes[RackLost] = f.measureNodeLoss(rack, r.Quiet)
		r.Outcomes[RackReturned] = f.measureNodeReturn(rack, r.Quiet)
	}
	if job.DataCentreLoss {
		dataCentre := f.nodesOfFirstDataCentre(len(f.running))
		r.Outcomes[DataCentreLost] = f.measureNodeLoss(dataCentre, r.Quiet)
		r.Outcomes[DataCentreReturned] = f.measureNodeReturn(dataCentre, r.Quiet)
	}
	if job.Partition {
		r.Outcomes[Partition], r.Outcomes[PartitionHealed] = f.measurePartition(r.Quiet)
	}
	r.WallTime = time.Since(begin)
	return r
}
