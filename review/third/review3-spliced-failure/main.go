// Command review3-spliced-failure plays lookups of past orders, which may be repeated, against sound replicas that answer 404 for an order
// that does not exist. Some send a broken-off second copy of some of their answers. It exits with 1 if a client got an answer that breaks the
// rule MIXED, 0 if none did, and 2 if it could not run.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivemill/chivemill/review/third/rig"
)

const (
	// replicas have slots each; a lookup takes meanWork. One lookup in missingEvery is for an order that does not exist.
	replicas     = 10
	slots        = 2
	queue        = 8
	meanWork     = 100 * time.Millisecond
	perSecond    = 150
	missingEvery = 4
	deadline     = 6 * time.Second
	// The disruption: for windowLength of each windowInterval, garbledReplicas of the replicas, a share of 0.6, send an extra copy after
	// garbledAnswers of their answers.
	windowInterval  = 6 * time.Second
	windowLength    = 5 * time.Second
	garbledReplicas = 6
	garbledAnswers  = 0.03
	firstWindow     = 3 * time.Second
)

var zones = []string{"braga-a", "coimbra-a", "lisboa-a"}

func main() {
	output := flag.String("record", "record.txt", "`FILE` for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play the disruption")
	length := flag.Duration("for", 60*time.Second, "`TIME` of traffic")
	flag.Parse()
	code, err := run(*output, *trouble, *length)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(code)
}

// status returns the status of a sound replica's answer to a lookup.
func status(req *http.Request) int {
	if n, err := strconv.Atoi(path.Base(req.URL.Path)); err == nil && n%missingEvery == 0 {
		return http.StatusNotFound
	}
	return http.StatusOK
}

func run(output string, trouble bool, length time.Duration) (int, error) {
	record, ledger := rig.NewRecord(), rig.NewLedger()
	fleet, err := rig.NewFleet()
	if err != nil {
		return 2, err
	}
	defer fleet.Close()
	fleet.CloseOnSignal()
	var begin atomic.Int64
	for n := range replicas {
		r, err := rig.NewReplica(fleet.Host(100+n), rig.ReplicaOptions{ID: fmt.Sprintf("i-%04x", 0x7f00+n), Service: "bancada", Zone: zones[n%3],
			Slots: slots, Queue: queue, MeanWork: meanWork, Records: 20, Record: record, OnReply: ledger.OnReply, Status: status,
			Spoil: func(r *rig.Replica, reply rig.Reply, sound []byte) rig.Sent {
				since := time.Since(time.Unix(0, begin.Load())) - firstWindow
				isOpen := trouble && begin.Load() != 0 && since > 0 && since%windowInterval < windowLength
				if !isOpen || (n+int(since/windowInterval))%replicas >= garbledReplicas || rand.Float64() >= garbledAnswers {
					return rig.Sent{Now: sound}
				}
				// The second copy breaks off at any byte of its head.
				cut := 1 + rand.IntN(len(sound)-len(reply.Body)-1)
				record.Add(rig.Event{What: "garbled", Request: reply.ID, Who: r.ID, Status: reply.Status,
					Note: fmt.Sprintf("%d of %d bytes of a second copy follow", cut, len(sound))})
				return rig.Sent{Now: sound, Late: sound[:cut]}
			}})
		if err != nil {
			return 2, err
		}
		defer r.Close()
		if err := fleet.PutReplica(r); err != nil {
			return 2, err
		}
	}
	err = fleet.WriteConfig([]map[string]any{{"Name": "r-lookup", "Host": "shop.example", "PathPrefix": "/orders/", "RouteType": "safe",
		"TimeoutMs": 6000, "TargetLatencyMs": 1000, "Priority": 2, "Service": "bancada", "MaxAttempts": 2}},
		[]map[string]any{{"Name": "bancada", "HealthPath": "/health", "MaxConnections": 100, "Protocol": "h1", "Tls": false}})
	if err != nil {
		return 2, err
	}
	for range zones {
		if _, err := fleet.Start(); err != nil {
			return 2, err
		}
	}
	time.Sleep(5 * time.Second)
	begin.Store(time.Now().UnixNano())
	broken := send(fleet, record, ledger, length)
	if err := record.WriteFile(output); err != nil {
		return 2, err
	}
	return summarize(record, broken), nil
}

// send sends lookups to the daemons in turn and returns the number of answers that break MIXED.
func send(fleet *rig.Fleet, record *rig.Record, ledger *rig.Ledger, length time.Duration) int {
	client := &rig.Client{Host: "shop.example", Record: record}
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	var wg sync.WaitGroup
	var broken atomic.Int64
	end := time.Now().Add(length)
	for n := 0; time.Now().Before(end); n++ {
		<-ticker.C
		wg.Go(func() {
			id := rig.NewID("b", n)
			answer := client.Send(fleet.Daemons[n%len(fleet.Daemons)], "GET", fmt.Sprintf("/orders/%d", rand.IntN(100_000)), id, nil, deadline)
			if fault := ledger.CheckSingle(id, answer); answer.Err == nil && fault != "" {
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
	fmt.Printf("requests sent %d, answered %d, second copies %d, answers that break MIXED: %d\n", counts["sent"], counts["answered"],
		counts["garbled"], broken)
	if broken > 0 {
		return 1
	}
	return 0
}
