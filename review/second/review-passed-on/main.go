// Command review-passed-on plays case 9 of the second review: queries whose path and query string have bytes of ISO 8859-1, while
// some replicas of one zone are emptied and taken away, so that its daemon has another one answer for it.
package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/chivemill/chivemill/review/second/stand"
)

const (
	host   = "loja.example"
	shards = 10
	// leavingShards is the number of shards whose replica in braga-a leaves: 4 of 30 replicas.
	leavingShards = 4
	// searches are sent to the daemon of each zone, before and after the replicas have left.
	searches = 30
	// drainFor is how long a replica serves on after it has reported that it drains, longer than DrainMs.
	drainFor = 4 * time.Second
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

// search is a request as a client sent it.
type search struct{ target, when string }

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
	zones := map[string]string{"braga-a": "norte", "guimaraes-a": "norte", "lisboa-a": "lisboa"}
	names := []string{"braga-a", "guimaraes-a", "lisboa-a"}
	var all, leaving []*stand.Replica
	var gather []string
	var services []map[string]any
	for i := range shards {
		service := fmt.Sprintf("loja-web-%d", i+1)
		gather = append(gather, service)
		services = append(services, map[string]any{"Name": service, "MaxConnections": 41})
		for _, zone := range names {
			r, err := world.StartReplica(service, zone, 5, func(a stand.Arrival) stand.Verdict {
				return stand.Verdict{Work: 8 * time.Millisecond, Body: bytes.Repeat([]byte(a.ID), 8)}
			})
			if err != nil {
				return false, err
			}
			all = append(all, r)
			if zone == "braga-a" && i < leavingShards {
				leaving = append(leaving, r)
			}
		}
	}
	err = world.Config(1, []map[string]any{{"Name": "pesquisa", "Host": host, "PathPrefix": "/pesquisa/", "RouteType": "safe", "TimeoutMs": 1500,
		"TargetLatencyMs": 300, "Priority": 1, "MaxAttempts": 3, "Gather": gather, "TopK": 5, "MinCoverage": 0.75}}, services)
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
	time.Sleep(8 * time.Second)

	sent := make(map[string]search)
	play := func(when string) {
		var wg sync.WaitGroup
		for i := range searches * len(daemons) {
			id, d := stand.NewID(), daemons[i%len(daemons)]
			// "coleção" and "caça" in ISO 8859-1, as older browsers write a form into the address.
			target := fmt.Sprintf("/pesquisa/cole\xe7\xe3o/%d?q=ca\xe7a", i)
			sent[id] = search{target, when}
			wg.Go(func() { world.Send(d, http.MethodGet, host, target, id, nil, 1500*time.Millisecond) })
			time.Sleep(20 * time.Millisecond)
		}
		wg.Wait()
	}
	play("before")
	if trouble {
		for _, r := range leaving {
			r.Drain()
		}
		time.Sleep(drainFor)
		for _, r := range leaving {
			r.Leave()
		}
		time.Sleep(3 * time.Second)
	}
	play("after")

	runs, changed := make(map[string]int), make(map[string]int)
	for _, r := range all {
		for _, a := range r.Runs() {
			request := sent[a.ID]
			runs[request.when]++
			if a.Target != request.target {
				changed[request.when]++
				record.Line("UNASKED: %s was sent with %s, and %s ran it with %s", a.ID, stand.Quote(request.target), r.ID, stand.Quote(a.Target))
			}
		}
	}
	for _, when := range []string{"before", "after"} {
		summary := fmt.Sprintf("%s: %d runs, %d of them with another path or query than the client's", when, runs[when], changed[when])
		record.Line("%s", summary)
		fmt.Println(summary)
	}
	if runs["before"] == 0 || runs["after"] == 0 {
		return false, fmt.Errorf("no search ran")
	}
	return len(changed) > 0, nil
}
