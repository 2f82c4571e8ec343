// Command review-encoded-slash plays case 7 of the second review: orders of a route that may run once at most, whose path has an encoded
// slash, while replicas lose answers.
package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivemill/chivemill/review/second/stand"
)

const (
	host     = "oficina.example"
	orders   = 1000
	replicas = 12
	// loseShare and loseRate are the dose of answer_lost: the share of the replicas that lose answers, and the rate at which they do.
	loseShare = 0.5
	loseRate  = 0.4
	// loseFor is how long answers are lost at a time, losePause the pause between two such times.
	loseFor, losePause = 4 * time.Second, 4 * time.Second
)

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

// loses reports whether the answer to a request is lost, the same in every run for the same id.
func loses(id string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return float64(h.Sum32()%1000) < loseRate*1000
}

func play(recordPath string, trouble bool) (broken bool, err error) {
	record, err := stand.NewRecord(recordPath)
	if err != nil {
		return false, err
	}
	world, err := stand.NewWorld(record)
	if err != nil {
		return false, err
	}
	defer world.Close()
	zones := map[string]string{"braga-a": "norte", "coimbra-a": "centro", "lisboa-a": "lisboa"}
	names := []string{"braga-a", "coimbra-a", "lisboa-a"}
	var all []*stand.Replica
	var begin atomic.Pointer[time.Time]
	isLosing := func() bool {
		at := begin.Load()
		return at != nil && time.Since(*at)%(loseFor+losePause) < loseFor
	}
	for i := range replicas {
		isBad := trouble && float64(i) < loseShare*replicas // two of four in each zone
		r, err := world.StartReplica("bancada", names[i%len(names)], 4, func(a stand.Arrival) stand.Verdict {
			return stand.Verdict{Work: 40 * time.Millisecond, LoseAnswer: isBad && isLosing() && loses(a.ID), Body: []byte("plate " + a.ID)}
		})
		if err != nil {
			return false, err
		}
		all = append(all, r)
	}
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{"Name": name, "Host": host, "PathPrefix": prefix, "RouteType": kind, "TimeoutMs": 4000, "TargetLatencyMs": 1000, "Priority": 1,
			"MaxAttempts": 3, "Service": "bancada"}
	}
	err = world.Config(1, []map[string]any{route("chapas", "/chapas/", "unsafe"), route("estado", "/chapas/estado/", "safe")},
		[]map[string]any{{"Name": "bancada", "MaxConnections": 100}})
	if err != nil {
		return false, err
	}
	var daemons []*stand.Daemon
	for _, zone := range names {
		d, err := world.StartDaemon(stand.DaemonOptions{Zone: zone, Region: zones[zone], Zones: zones, CPUShare: 0.4})
		if err != nil {
			return false, err
		}
		daemons = append(daemons, d)
	}
	// A daemon that has just started has no budget for repeats.
	time.Sleep(12 * time.Second)

	// Both kinds of order are for the route "chapas": the path of none of them begins with "/chapas/estado/".
	kind := make(map[string]string)
	now := time.Now()
	begin.Store(&now)
	var wg sync.WaitGroup
	for i := range orders {
		target, name := fmt.Sprintf("/chapas/estado%%2F2026-%d", i), "with an encoded slash"
		if i%2 == 1 {
			target, name = fmt.Sprintf("/chapas/estado-2026-%d", i), "without one"
		}
		id := stand.NewID()
		kind[id] = name
		d := daemons[i%len(daemons)]
		wg.Go(func() {
			world.Send(d, http.MethodPost, host, target, id, []byte("cut one plate"), 6*time.Second)
		})
		time.Sleep(45 * time.Millisecond)
	}
	wg.Wait()

	runs := make(map[string]int)
	for _, r := range all {
		for _, a := range r.Runs() {
			runs[a.ID]++
		}
	}
	twice, ran := make(map[string]int), make(map[string]int)
	for id, n := range runs {
		if n > 0 {
			ran[kind[id]]++
		}
		if n > 1 {
			twice[kind[id]]++
			record.Line("TWICE: order %s (%s) ran %d times", id, kind[id], n)
		}
	}
	for _, name := range []string{"with an encoded slash", "without one"} {
		summary := fmt.Sprintf("orders %s: %d ran, %d of them more than once", name, ran[name], twice[name])
		record.Line("%s", summary)
		fmt.Println(summary)
	}
	if len(runs) == 0 {
		return false, fmt.Errorf("no order ran")
	}
	return len(twice) > 0, nil
}
