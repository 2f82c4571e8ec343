package bench

import (
	"math"
	"time"

	"github.com/chivemill/chivemill/snapshot"
)

// Deployment is one of the two deployments of the design document, with its search services.
type Deployment struct {
	Name        string
	DataCentres []string
	// Daemons holds the data centre index of each entry daemon.
	Daemons []int
	// LinkDelay is the one-way delay between two data centres, which lie in different regions; LocalDelay that within
	// a data centre; ClientDelay that to the callers.
	LinkDelay, LocalDelay, ClientDelay time.Duration
	Services                           []Service
	// ConnectionCost is the time that a replica takes to accept a new connection.
	ConnectionCost time.Duration
}

// Service describes a search service. Each shard has one replica in each data centre, and Slots and MaxConnections are
// the limits of one replica.
type Service struct {
	Name           string
	Shards         int
	Slots          int
	MaxConnections int
	Profile        Profile
}

// Profile holds the profile settings that the simulation uses.
type Profile struct {
	Deadline         time.Duration
	RequiredCoverage float64
	WaitForReplicas  bool
	PartialAfter     time.Duration
	HedgeQuantile    float64
	HedgeBudget      float64
	RetryBudget      float64
	MaxAttempts      int
}

// SetPartialAfter sets the time after which a partial answer is returned, for all profiles that return partial answers;
// 0 turns partial answers off. It changes the services that all copies of d share.
func (d Deployment) SetPartialAfter(after time.Duration) {
	for i := range d.Services {
		if !d.Services[i].Profile.WaitForReplicas {
			d.Services[i].Profile.PartialAfter = after
		}
	}
}

// SetRequiredCoverage sets the required coverage, from 0 to 1, for all profiles that return partial answers. It changes
// the services that all copies of d share.
func (d Deployment) SetRequiredCoverage(coverage float64) {
	for i := range d.Services {
		if !d.Services[i].Profile.WaitForReplicas {
			d.Services[i].Profile.RequiredCoverage = coverage
		}
	}
}

const replicasPerShard = 3

// Service times have a log-normal distribution around the median. A small fraction of the requests takes
// slowRequestFactor times as long.
const (
	medianServiceTime   = 8 * time.Millisecond
	serviceTimeSigma    = 0.5
	slowRequestFraction = 0.01
	slowRequestFactor   = 8
)

// meanServiceTime returns the mean of the service time distribution.
func meanServiceTime() time.Duration {
	mean := float64(medianServiceTime) * math.Exp(serviceTimeSigma*serviceTimeSigma/2)
	return time.Duration(mean * (1 + slowRequestFraction*(slowRequestFactor-1)))
}

// capacity returns the number of queries per second that keeps all slots of the service busy.
func (s Service) capacity() float64 {
	return float64(s.Slots*replicasPerShard) / meanServiceTime().Seconds()
}

func (s Service) shardMap() snapshot.ShardMap { return snapshot.NewUniformMap(1, s.Name, s.Shards) }

// Gravura returns the deployment whose primary metric is tail latency.
func Gravura() Deployment {
	p := Profile{
		Deadline: 300 * time.Millisecond, RequiredCoverage: 0.7, HedgeQuantile: 0.97,
		PartialAfter: 65 * time.Millisecond, HedgeBudget: 0.03, RetryBudget: 0.015, MaxAttempts: 3,
	}
	return Deployment{
		Name: "gravura", DataCentres: []string{"braga-a", "coimbra-a", "lisboa-a"},
		Daemons:   []int{0, 0, 0, 1, 1, 2, 2},
		LinkDelay: 12 * time.Millisecond, LocalDelay: 250 * time.Microsecond, ClientDelay: time.Millisecond,
		ConnectionCost: 6 * time.Millisecond,
		Services: []Service{
			{Name: "loja-web", Shards: 10, Slots: 5, MaxConnections: 40, Profile: p},
			{Name: "faturas", Shards: 15, Slots: 5, MaxConnections: 40, Profile: p},
		},
	}
}

// Tutkal returns the deployment whose primary metric is coverage.
func Tutkal() Deployment {
	p := Profile{
		Deadline: time.Second, RequiredCoverage: 1, WaitForReplicas: true, HedgeQuantile: 0.98,
		HedgeBudget: 0.015, RetryBudget: 0.03, MaxAttempts: 5,
	}
	return Deployment{
		Name: "tutkal", DataCentres: []string{"marmara-a", "ege-a", "ic-anadolu-a"},
		Daemons:   []int{0, 0, 0, 1, 1, 2, 2},
		LinkDelay: 8 * time.Millisecond, LocalDelay: 250 * time.Microsecond, ClientDelay: 3 * time.Millisecond,
		ConnectionCost: 6 * time.Millisecond,
		Services: []Service{
			{Name: "vitrin", Shards: 10, Slots: 3, MaxConnections: 30, Profile: p},
			{Name: "fatura", Shards: 15, Slots: 3, MaxConnections: 30, Profile: p},
		},
	}
}
