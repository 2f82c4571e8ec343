// Command review3-large-entries plays lookups against sound replicas while another writer leaves unreadable values beside their entries in
// the store, and all daemons are killed and started again. It exits with 1 if less than a quarter of the requests is served after RecoveryS,
// 0 if more is, and 2 if it could not run.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/chivemill/chivemill/review/third/rig"
)

const (
	replicas  = 6
	perSecond = 30
	deadline  = 2 * time.Second
	// The other writer leaves entries of valueBytes, the largest value that the store takes. Each is written once.
	valueBytes = 1 << 20
	// The daemons are killed killAt after the first request, and are down for downTime. recovery is RecoveryS, judged the time after it in
	// which requests count.
	writeAt  = 3 * time.Second
	killAt   = 9 * time.Second
	downTime = time.Second
	recovery = 12 * time.Second
	// startMargin is more than the time that the starts of the processes take.
	startMargin = 500 * time.Millisecond
	judged      = 20 * time.Second
)

var zones = []string{"braga-a", "coimbra-a", "lisboa-a"}

func main() {
	output := flag.String("record", "record.txt", "`FILE` for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "let the other writer write")
	entries := flag.Int("entries", 80, "`NUMBER` of entries of the other writer")
	flag.Parse()
	code, err := run(*output, *trouble, *entries)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(code)
}

func run(output string, trouble bool, entries int) (int, error) {
	record, ledger := rig.NewRecord(), rig.NewLedger()
	fleet, err := rig.NewFleet()
	if err != nil {
		return 2, err
	}
	defer fleet.Close()
	fleet.CloseOnSignal()
	for n := range replicas {
		r, err := rig.NewReplica(fleet.Host(100+n), rig.ReplicaOptions{ID: fmt.Sprintf("i-%04x", 0x2a00+n), Service: "bancada", Zone: zones[n%3],
			Slots: 4, Queue: 20, MeanWork: 20 * time.Millisecond, Records: 20, Record: record, OnReply: ledger.OnReply})
		if err != nil {
			return 2, err
		}
		defer r.Close()
		if err := fleet.PutReplica(r); err != nil {
			return 2, err
		}
	}
	err = writeConfig(fleet)
	if err != nil {
		return 2, err
	}
	for range zones {
		if _, err := fleet.Start(); err != nil {
			return 2, err
		}
	}
	time.Sleep(5 * time.Second)
	begin := time.Now()
	failed := make(chan error, 1)
	go func() { failed <- disturb(fleet, record, trouble, entries, begin) }()
	before, after := send(fleet, record, ledger, begin)
	if err := <-failed; err != nil {
		return 2, err
	}
	pages, slowest := fleet.Pages()
	record.Add(rig.Event{What: "store", Note: fmt.Sprintf("%d pages of the list served, the slowest in %v", pages, slowest)})
	if err := record.WriteFile(output); err != nil {
		return 2, err
	}
	fmt.Printf("store: %d pages of the list served, the slowest in %v\n", pages, slowest)
	fmt.Printf("served before the kill %s, later than RecoveryS after the start %s\n", before, after)
	for _, d := range fleet.Daemons {
		if d.HasExited() {
			fmt.Printf("%s has ended\n", d.Name)
		}
	}
	if 4*before.served.Load() >= before.sent.Load() && 4*after.served.Load() < after.sent.Load() {
		fmt.Println("RECOVER: less than a quarter is served")
		return 1, nil
	}
	return 0, nil
}

// writeConfig writes the next version of the configuration, with the same route.
func writeConfig(fleet *rig.Fleet) error {
	return fleet.WriteConfig([]map[string]any{{"Name": "r-lookup", "Host": "shop.example", "PathPrefix": "/orders/", "RouteType": "safe",
		"TimeoutMs": 2000, "TargetLatencyMs": 500, "Priority": 2, "Service": "bancada", "MaxAttempts": 2}},
		[]map[string]any{{"Name": "bancada", "HealthPath": "/health", "MaxConnections": 100, "Protocol": "h1", "Tls": false}})
}

// disturb lets the other writer write, and kills and starts the daemons.
func disturb(fleet *rig.Fleet, record *rig.Record, trouble bool, entries int, begin time.Time) error {
	time.Sleep(time.Until(begin.Add(writeAt)))
	if trouble {
		for n := range entries {
			value := make([]byte, valueBytes)
			for i := range value {
				value[i] = byte(rand.UintN(256))
			}
			if err := fleet.PutEntry(fmt.Sprintf("snapshot-%04d", n), value); err != nil {
				return err
			}
		}
		record.Add(rig.Event{What: "written", Note: fmt.Sprintf("%d values of %d bytes under servers/", entries, valueBytes)})
	}
	time.Sleep(time.Until(begin.Add(killAt)))
	// The final fault strikes right after a configuration was acknowledged.
	if err := writeConfig(fleet); err != nil {
		return err
	}
	for _, d := range fleet.Daemons {
		record.Add(rig.Event{What: "killed", Who: d.Name})
		if err := d.Signal(syscall.SIGKILL); err != nil {
			return err
		}
		<-d.Exited()
	}
	time.Sleep(time.Until(begin.Add(killAt + downTime)))
	for _, d := range fleet.Daemons {
		record.Add(rig.Event{What: "started", Who: d.Name})
		if err := fleet.Restart(d); err != nil {
			return err
		}
	}
	return nil
}

// share counts requests and those that were served.
type share struct{ sent, served atomic.Int64 }

// String returns the counts.
func (s *share) String() string { return fmt.Sprintf("%d of %d", s.served.Load(), s.sent.Load()) }

// send sends lookups at an even rate. It returns those before the kill and those sent later than RecoveryS after the start.
func send(fleet *rig.Fleet, record *rig.Record, ledger *rig.Ledger, begin time.Time) (before, after *share) {
	before, after = new(share), new(share)
	client := &rig.Client{Host: "shop.example", Record: record}
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	var wg sync.WaitGroup
	recovered := killAt + downTime + startMargin + recovery
	for n := 0; time.Since(begin) < recovered+judged; n++ {
		<-ticker.C
		var counted *share
		switch at := time.Since(begin); {
		case at < killAt-deadline:
			counted = before
		case at >= recovered:
			counted = after
		}
		wg.Go(func() {
			id := rig.NewID("e", n)
			answer := client.Send(fleet.Daemons[n%len(fleet.Daemons)], "GET", fmt.Sprintf("/orders/%d", n), id, nil, deadline)
			if counted == nil {
				return
			}
			counted.sent.Add(1)
			if answer.Err == nil && answer.Status == 200 && ledger.CheckSingle(id, answer) == "" {
				counted.served.Add(1)
			}
		})
	}
	wg.Wait()
	return before, after
}
