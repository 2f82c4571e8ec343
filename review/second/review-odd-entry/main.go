// Command review-odd-entry plays case 10 of the second review: another writer leaves entries among those of the replicas in which fields
// are missing.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/chivemill/chivemill/review/second/stand"
)

const (
	host     = "oficina.example"
	orders   = 400
	replicas = 6
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

// stockList is a server that is no replica: it takes what it gets and answers 200.
type stockList struct {
	record *stand.Record
	mu     sync.Mutex
	got    map[string]string
}

// ServeHTTP implements http.Handler.
func (s *stockList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("Chivemill-Request-Id")
	s.mu.Lock()
	s.got[id] = string(body)
	s.mu.Unlock()
	s.record.Line("the other server gets %s: %s %s %q", id, r.Method, r.RequestURI, body)
	_, _ = io.WriteString(w, "stored\n")
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
	for i := range replicas {
		r, err := world.StartReplica("bancada", names[i%len(names)], 4, func(a stand.Arrival) stand.Verdict {
			return stand.Verdict{Work: 30 * time.Millisecond, Body: []byte("plate " + a.ID)}
		})
		if err != nil {
			return false, err
		}
		all = append(all, r)
	}
	err = world.Config(1, []map[string]any{{"Name": "chapas", "Host": host, "PathPrefix": "/chapas/", "RouteType": "unsafe", "TimeoutMs": 4000,
		"TargetLatencyMs": 1000, "Priority": 1, "MaxAttempts": 3, "Service": "bancada"}}, []map[string]any{{"Name": "bancada", "MaxConnections": 100}})
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
	other := &stockList{record: record, got: make(map[string]string)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	server := &http.Server{Handler: other}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	time.Sleep(3 * time.Second)
	if trouble {
		// Version, WarmupLeftMs, Sequence and born are missing.
		for i, zone := range names {
			entry := map[string]any{"Service": "bancada", "Address": listener.Addr().String(), "Zone": zone, "Capacity": 4, "State": "ready"}
			if err := world.KeepOddEntry(fmt.Sprintf("stock-list-%d", i), entry); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(3 * time.Second)

	var mu sync.Mutex
	var wg sync.WaitGroup
	status := make(map[int]int)
	for i := range orders {
		id, d := stand.NewID(), daemons[i%len(daemons)]
		wg.Go(func() {
			answer := world.Send(d, http.MethodPost, host, fmt.Sprintf("/chapas/%d", i), id, []byte("cut one plate"), 6*time.Second)
			mu.Lock()
			status[answer.Status]++
			mu.Unlock()
		})
		time.Sleep(30 * time.Millisecond)
	}
	wg.Wait()

	ran := 0
	for _, r := range all {
		ran += len(r.Runs())
	}
	other.mu.Lock()
	defer other.mu.Unlock()
	summary := fmt.Sprintf("%d orders: %d ran at replicas, %d went to the server of the odd entry; answers by status: %v", orders, ran, len(other.got), status)
	record.Line("%s", summary)
	fmt.Println(summary)
	if ran == 0 {
		return false, fmt.Errorf("no order ran")
	}
	return len(other.got) > 0, nil
}
