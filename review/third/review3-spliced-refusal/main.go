// Command review3-spliced-refusal plays orders, which may run at most once, against replicas that send a broken-off second copy of some of
// their answers. It exits with 1 if an order ran twice, 0 if none did, and 2 if it could not run.
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
	// The replicas are those of an order service: 2 slots each, 220 ms of work.
	replicas  = 10
	slots     = 2
	queue     = 2
	meanWork  = 220 * time.Millisecond
	perSecond = 95
	deadline  = 6 * time.Second
	// The disruption: for windowLength of each windowInterval, garbledReplicas of the replicas, a share of 0.6, send an extra copy after
	// garbledAnswers of their answers.
	windowInterval  = 6 * time.Second
	windowLength    = 5 * time.Second
	garbledReplicas = 6
	garbledAnswers  = 0.03
	firstWindow     = 3 * time.Second
)

func main() {
	output := flag.String("record", "record.txt", "`FILE` for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play the disruption")
	length := flag.Duration("for", 100*time.Second, "`TIME` of traffic")
	flag.Parse()
	code, err := run(*output, *trouble, *length)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(code)
}

func run(output string, trouble bool, length time.Duration) (int, error) {
	record := rig.NewRecord()
	fleet, err := rig.NewFleet()
	if err != nil {
		return 2, err
	}
	defer fleet.Close()
	fleet.CloseOnSignal()
	begin := time.Now()
	var started atomic.Bool
	spoil := func(r *rig.Replica, reply rig.Reply, sound []byte) rig.Sent {
		since := time.Since(begin) - firstWindow
		isGarbled := trouble && started.Load() && since > 0 && since%windowInterval < windowLength && rand.Float64() < garbledAnswers
		if !isGarbled || !isShared(r.ID, int(since/windowInterval)) {
			return rig.Sent{Now: sound}
		}
		// The second copy breaks off at any byte.
		cut := 1 + rand.IntN(len(sound)-1)
		record.Add(rig.Event{What: "garbled", Request: reply.ID, Who: r.ID, Status: reply.Status,
			Note: fmt.Sprintf("%d of %d bytes of a second copy follow", cut, len(sound))})
		return rig.Sent{Now: sound, Late: sound[:cut]}
	}
	zones := []string{"braga-a", "coimbra-a", "lisboa-a"}
	for i := range replicas {
		r, err := rig.NewReplica(fleet.Host(100+i), rig.ReplicaOptions{ID: fmt.Sprintf("i-%04x", 0x51c0+i), Service: "bancada", Zone: zones[i%3],
			Slots: slots, Queue: queue, MeanWork: meanWork, Records: 20, Spoil: spoil, Record: record})
		if err != nil {
			return 2, err
		}
		defer r.Close()
		if err := fleet.PutReplica(r); err != nil {
			return 2, err
		}
	}
	err = fleet.WriteConfig([]map[string]any{{"Name": "r-orders", "Host": "orders.example", "PathPrefix": "/orders/", "RouteType": "unsafe",
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
	begin = time.Now()
	started.Store(true)
	send(fleet, record, length)
	if err := record.WriteFile(output); err != nil {
		return 2, err
	}
	return judge(record), nil
}

// isShared reports whether a replica is among those that a window disturbs.
func isShared(id string, window int) bool {
	var n int
	_, _ = fmt.Sscanf(id, "i-%x", &n)
	return (n+window)%replicas < garbledReplicas
}

// send sends orders at even intervals to the daemons in turn and waits for all answers.
func send(fleet *rig.Fleet, record *rig.Record, length time.Duration) {
	client := &rig.Client{Host: "orders.example", Record: record}
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	var wg sync.WaitGroup
	end := time.Now().Add(length)
	for n := 0; time.Now().Before(end); n++ {
		<-ticker.C
		wg.Go(func() {
			id := rig.NewID("a", n)
			client.Send(fleet.Daemons[n%len(fleet.Daemons)], "POST", fmt.Sprintf("/orders/%d", n), id, []byte("one plate: Bolinha"), deadline)
		})
	}
	wg.Wait()
}

// judge applies the rules TWICE and REFUSED and returns the exit code.
func judge(record *rig.Record) int {
	runs, answers := make(map[string]int), make(map[string]int)
	var sent, garbled, refused int
	for _, e := range record.Events() {
		switch e.What {
		case "run":
			runs[e.Request]++
		case "sent":
			sent++
		case "garbled":
			garbled++
		case "refused":
			refused++
		case "answered":
			answers[e.Request] = e.Status
		}
	}
	var twice, untrue int
	for id, n := range runs {
		if n > 1 {
			twice++
			fmt.Printf("TWICE: order %s ran %d times\n", id, n)
		}
		if status := answers[id]; status == 429 || status == 503 || status == 408 || status == 421 {
			untrue++
			fmt.Printf("REFUSED: order %s was answered %d and has run\n", id, status)
		}
	}
	fmt.Printf("orders sent %d, run %d, replicas' refusals %d, second copies %d; ran twice: %d, answered as not run although run: %d\n",
		sent, len(runs), refused, garbled, twice, untrue)
	if twice+untrue > 0 {
		return 1
	}
	return 0
}
