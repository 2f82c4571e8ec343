// Command review-odd-services plays case 6 of the second review: replicas crash and are back some seconds later, while the store lists
// entries of services that the configuration does not name. VARIANT is one of
//   - all (default): all replicas of the only service are down for 4 s, beside 3 odd entries,
//   - share: 3 of 20 replicas are down for 4 s, in a deployment of one zone, beside 16 odd entries,
//   - partition: all machines are partitioned from all replicas for 6 s, beside 3 odd entries.
//
// ODD sets another number of odd entries.
package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/chivemill/chivemill/review/second/stand"
)

const (
	host    = "oficina.example"
	service = "bancada"
	// recovery is the bound RecoveryS of the settings.
	recovery = 12 * time.Second
	// phase is how long requests are counted before the disruption, and after the recovery.
	phase = 8 * time.Second
)

// variant is a disruption: how many replicas there are, how many of them are disrupted and for how long, and the number of odd entries.
type variant struct {
	replicas, disrupted, odd int
	length                   time.Duration
	isPartition, isOneZone   bool
}

var variants = map[string]variant{
	"all":       {replicas: 9, disrupted: 9, odd: 3, length: 4 * time.Second},
	"share":     {replicas: 20, disrupted: 3, odd: 16, length: 4 * time.Second, isOneZone: true},
	"partition": {replicas: 9, disrupted: 9, odd: 3, length: 6 * time.Second, isPartition: true},
}

func main() {
	broken, err := play(os.Args[1], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

// count holds how many requests were sent and served in a phase.
type count struct{ sent, served int }

func (c count) share() float64 { return float64(c.served) / float64(max(1, c.sent)) }

// system is the deployment with its clients.
type system struct {
	world    *stand.World
	zones    []string
	replicas []*stand.Replica
	daemons  []*stand.Daemon
}

func (s *system) startReplica(i int) (*stand.Replica, error) {
	return s.world.StartReplica(service, s.zones[i%len(s.zones)], 4, func(a stand.Arrival) stand.Verdict {
		return stand.Verdict{Work: 20 * time.Millisecond, Body: []byte("answer " + a.ID)}
	})
}

// send sends requests to all daemons for a time.
func (s *system) send(length time.Duration) (c count) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	begin := time.Now()
	for i := 0; time.Since(begin) < length; i++ {
		d := s.daemons[i%len(s.daemons)]
		wg.Go(func() {
			answer := s.world.Send(d, http.MethodGet, host, "/pedidos/"+strconv.Itoa(i), stand.NewID(), nil, 3*time.Second)
			mu.Lock()
			defer mu.Unlock()
			c.sent++
			if answer.Err == nil && answer.Status == http.StatusOK {
				c.served++
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	return c
}

// begin starts the disruption and end ends it.
func (s *system) begin(v variant) {
	for _, r := range s.replicas[:v.disrupted] {
		if v.isPartition {
			r.Cut()
		} else {
			r.Crash()
		}
	}
}

func (s *system) end(v variant) error {
	for i, r := range s.replicas[:v.disrupted] {
		if v.isPartition {
			if err := r.Heal(); err != nil {
				return err
			}
			continue
		}
		if _, err := s.startReplica(i); err != nil {
			return err
		}
	}
	return nil
}

func (s *system) start(v variant) error {
	regions := map[string]string{"braga-a": "norte", "coimbra-a": "centro", "lisboa-a": "lisboa"}
	s.zones = []string{"braga-a", "coimbra-a", "lisboa-a"}
	if v.isOneZone {
		s.zones = []string{"braga-a", "braga-a", "braga-a"}
	}
	for i := range v.replicas {
		r, err := s.startReplica(i)
		if err != nil {
			return err
		}
		s.replicas = append(s.replicas, r)
	}
	err := s.world.Config(1, []map[string]any{{"Name": "pedidos", "Host": host, "PathPrefix": "/pedidos/", "RouteType": "safe", "TimeoutMs": 3000,
		"TargetLatencyMs": 1000, "Priority": 1, "MaxAttempts": 3, "Service": service}}, []map[string]any{{"Name": service, "MaxConnections": 100}})
	if err != nil {
		return err
	}
	for i := range v.odd {
		// Nothing listens at port 9 of these loopback addresses.
		entry := map[string]any{"Service": fmt.Sprintf("other-%d", i), "Address": fmt.Sprintf("127.66.0.%d:9", i+1), "Zone": "braga-a", "Version": "v1",
			"Capacity": 4, "State": "ready", "WarmupLeftMs": 0, "Sequence": 1, "born": time.Now().UnixMilli()}
		if err := s.world.KeepOddEntry(fmt.Sprintf("other-%d", i), entry); err != nil {
			return err
		}
	}
	for _, zone := range s.zones {
		d, err := s.world.StartDaemon(stand.DaemonOptions{Zone: zone, Region: regions[zone], Zones: regions, CPUShare: 0.4})
		if err != nil {
			return err
		}
		s.daemons = append(s.daemons, d)
	}
	time.Sleep(10 * time.Second)
	return nil
}

func play(recordPath string, trouble bool) (broken bool, err error) {
	name := os.Getenv("VARIANT")
	if name == "" {
		name = "all"
	}
	v, ok := variants[name]
	if !ok {
		return false, fmt.Errorf("no variant %q", name)
	}
	if text := os.Getenv("ODD"); text != "" {
		if v.odd, err = strconv.Atoi(text); err != nil {
			return false, err
		}
	}
	record, err := stand.NewRecord(recordPath)
	if err != nil {
		return false, err
	}
	s := &system{}
	if s.world, err = stand.NewWorld(record); err != nil {
		return false, err
	}
	defer s.world.Close()
	if err := s.start(v); err != nil {
		return false, err
	}
	before := s.send(phase)
	if trouble {
		record.Line("the disruption begins: %s", name)
		s.begin(v)
	}
	during := s.send(v.length)
	if trouble {
		if err := s.end(v); err != nil {
			return false, err
		}
		record.Line("the disruption has ended")
	}
	s.send(recovery)
	after := s.send(phase)
	summary := fmt.Sprintf("%s, %d odd entries; served: before %d of %d, during %d of %d, from RecoveryS after it on %d of %d", name, v.odd, before.served,
		before.sent, during.served, during.sent, after.served, after.sent)
	record.Line("%s", summary)
	fmt.Println(summary)
	if before.share() < 0.25 {
		return false, fmt.Errorf("too few requests were served before the disruption")
	}
	return after.share() < 0.25, nil
}
