// Command review3-status-in-body plays searches and lookups, which may be repeated, against replicas of which some break off some of their
// answers and send an answer with status 000 instead. It exits with 1 if a client got an answer that breaks the rule
// MIXED, 0 if none did, and 2 if it could not run.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivemill/chivemill/review/third/rig"
)

const (
	shards    = 10
	perShard  = 3
	topK      = 50
	least     = 0.75
	perSecond = 80
	// For windowLength of each windowInterval, garbledShare of the replicas break off garbledAnswers of their answers.
	windowInterval = 6500 * time.Millisecond
	windowLength   = 5500 * time.Millisecond
	garbledShare   = 0.35
	garbledAnswers = 0.02
	firstWindow    = 3 * time.Second
)

var zones = []string{"braga-a", "coimbra-a", "lisboa-a"}

func main() {
	output := flag.String("record", "record.txt", "`FILE` for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play the disruption")
	status := flag.Int("status", 0, "`STATUS` of the answer that follows a broken-off one")
	length := flag.Duration("for", 30*time.Second, "`TIME` of traffic")
	flag.Parse()
	code, err := run(*output, *trouble, *length, *status)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(code)
}

// isIn reports whether the n-th of count replicas is among a share of them that changes with each window.
func isIn(n, window, count int, share float64) bool {
	return (n+window)%count < int(share*float64(count))
}

func run(output string, trouble bool, length time.Duration, status int) (int, error) {
	record, ledger := rig.NewRecord(), rig.NewLedger()
	fleet, err := rig.NewFleet()
	if err != nil {
		return 2, err
	}
	defer fleet.Close()
	fleet.CloseOnSignal()
	var begin atomic.Int64
	window := func() (n int, open bool) {
		if begin.Load() == 0 || !trouble {
			return 0, false
		}
		since := time.Since(time.Unix(0, begin.Load())) - firstWindow
		return int(since / windowInterval), since > 0 && since%windowInterval < windowLength
	}
	var services []string
	for i := range shards {
		services = append(services, fmt.Sprintf("loja-web~%d", i))
	}
	count := (shards + 1) * perShard
	for n := range count {
		service, work, records := "bancada", 60*time.Millisecond, 180
		if n < shards*perShard {
			service, work, records = services[n/perShard], 12*time.Millisecond, 60
		}
		r, err := rig.NewReplica(fleet.Host(100+n), rig.ReplicaOptions{ID: fmt.Sprintf("i-%04x", 0x7f00+n), Service: service, Zone: zones[n%3],
			Slots: 5, Queue: 30, MeanWork: work, Records: records, Record: record, OnReply: ledger.OnReply,
			Spoil: func(r *rig.Replica, reply rig.Reply, sound []byte) rig.Sent {
				w, open := window()
				if !open || !isIn(n, 7*w, count, garbledShare) || rand.Float64() >= garbledAnswers {
					return rig.Sent{Now: sound}
				}
				if len(reply.Body) < 2 {
					return rig.Sent{Now: sound}
				}
				// The answer breaks off within its body, and another one follows.
				cut := len(sound) - 1 - rand.IntN(len(reply.Body)-1)
				bad := reply
				bad.Status = status
				record.Add(rig.Event{What: "garbled", Request: reply.ID, Who: r.ID, Status: reply.Status,
					Note: fmt.Sprintf("%d of %d bytes, then an answer with status %03d", cut, len(sound), status)})
				return rig.Sent{Now: append(append([]byte(nil), sound[:cut]...), r.Bytes(bad)...)}
			}})
		if err != nil {
			return 2, err
		}
		defer r.Close()
		if err := fleet.PutReplica(r); err != nil {
			return 2, err
		}
	}
	routes := []map[string]any{
		{"Name": "r-search", "Host": "shop.example", "PathPrefix": "/search/", "RouteType": "safe", "TimeoutMs": 1500, "TargetLatencyMs": 300,
			"Priority": 1, "Gather": services, "MaxAttempts": 2, "TopK": topK, "MinCoverage": least},
		{"Name": "r-lookup", "Host": "shop.example", "PathPrefix": "/orders/", "RouteType": "safe", "TimeoutMs": 6000, "TargetLatencyMs": 1000,
			"Priority": 2, "Service": "bancada", "MaxAttempts": 2},
	}
	var configured []map[string]any
	for _, s := range append([]string{"bancada"}, services...) {
		configured = append(configured, map[string]any{"Name": s, "HealthPath": "/health", "MaxConnections": 41, "Protocol": "h1", "Tls": false})
	}
	if err := fleet.WriteConfig(routes, configured); err != nil {
		return 2, err
	}
	for range zones {
		if _, err := fleet.Start(); err != nil {
			return 2, err
		}
	}
	time.Sleep(5 * time.Second)
	begin.Store(time.Now().UnixNano())
	broken := send(fleet, record, ledger, services, length)
	if err := record.WriteFile(output); err != nil {
		return 2, err
	}
	return summarize(record, broken), nil
}

// send sends searches and lookups in turn to the daemons and returns the number of answers that break MIXED.
func send(fleet *rig.Fleet, record *rig.Record, ledger *rig.Ledger, services []string, length time.Duration) int {
	client := &rig.Client{Host: "shop.example", Record: record}
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	var wg sync.WaitGroup
	var broken atomic.Int64
	end := time.Now().Add(length)
	for n := 0; time.Now().Before(end); n++ {
		<-ticker.C
		wg.Go(func() {
			daemon, id := fleet.Daemons[(n/2)%len(fleet.Daemons)], rig.NewID("b", n)
			var fault string
			if n%2 == 0 {
				fault = ledger.CheckGather(id, client.Send(daemon, "GET", fmt.Sprintf("/search/%d", n), id, nil, 1500*time.Millisecond), services, topK, least)
			} else {
				fault = ledger.CheckSingle(id, client.Send(daemon, "GET", fmt.Sprintf("/orders/%d", n), id, nil, 6*time.Second))
			}
			if fault != "" {
				broken.Add(1)
				fmt.Printf("MIXED: request %s: %s\n", id, fault)
				record.Add(rig.Event{What: "mixed", Request: id, Note: fault})
			}
		})
	}
	wg.Wait()
	return int(broken.Load())
}

func summarize(record *rig.Record, broken int) int {
	counts := make(map[string]int)
	for _, e := range record.Events() {
		counts[e.What]++
	}
	fmt.Printf("requests sent %d, answered %d, broken-off answers %d, answers that break MIXED: %d\n", counts["sent"], counts["answered"],
		counts["garbled"], broken)
	if broken > 0 {
		return 1
	}
	return 0
}
