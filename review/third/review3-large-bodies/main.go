// Command review3-large-bodies plays clients that nobody controls beside ordinary ones: many bodies of legal size at once, after heads of
// legal size that hold many small fields. A daemon that takes more memory than its machine has is killed and started again, as the platform
// does. It exits with 1 if processes ended three times on two machines, 0 if not, and 2 if it could not run.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/chivemill/chivemill/review/third/rig"
)

const (
	shards    = 10
	perShard  = 3
	topK      = 50
	least     = 0.75
	perSecond = 20
	// bodyBytes is the operator's MaxBodyBytes, headBytes is below its MaxHeaderBytes of 16384. A client stops shortBy bytes before the end
	// of its body and stays.
	bodyBytes = 262144
	headBytes = 15000
	shortBy   = 100
	// clients is the number of connections that the uncontrolled clients hold or open at each daemon at the same time, pause the time before
	// they open another one after a refusal.
	clients = 2000
	pause   = 200 * time.Millisecond
	stay    = 20 * time.Second
	// restartDelay is how long a process that was killed is down. The rule names endsEach ends on at least endsMachines machines.
	restartDelay = 500 * time.Millisecond
	endsEach     = 3
	endsMachines = 2
)

var zones = []string{"braga-a", "coimbra-a", "lisboa-a"}

func main() {
	output := flag.String("record", "record.txt", "`FILE` for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play the uncontrolled clients")
	length := flag.Duration("for", 45*time.Second, "`TIME` of traffic")
	fieldBytes := flag.Int("field", 6, "`BYTES` of a field of a head, its line end included")
	flag.Parse()
	code, err := run(*output, *trouble, *length, *fieldBytes)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(code)
}

func run(output string, trouble bool, length time.Duration, fieldBytes int) (int, error) {
	record, ledger := rig.NewRecord(), rig.NewLedger()
	fleet, err := rig.NewFleet()
	if err != nil {
		return 2, err
	}
	defer fleet.Close()
	fleet.CloseOnSignal()
	var services []string
	var configured []map[string]any
	for i := range shards {
		services = append(services, fmt.Sprintf("loja-web~%d", i))
		configured = append(configured, map[string]any{"Name": services[i], "HealthPath": "/health", "MaxConnections": 41, "Protocol": "h1", "Tls": false})
	}
	for n := range shards * perShard {
		r, err := rig.NewReplica(fleet.Host(100+n), rig.ReplicaOptions{ID: fmt.Sprintf("i-%04x", 0x3100+n), Service: services[n/perShard], Zone: zones[n%3],
			Slots: 5, Queue: 30, MeanWork: 12 * time.Millisecond, Records: 60, Record: record, OnReply: ledger.OnReply})
		if err != nil {
			return 2, err
		}
		defer r.Close()
		if err := fleet.PutReplica(r); err != nil {
			return 2, err
		}
	}
	err = fleet.WriteConfig([]map[string]any{{"Name": "r-search", "Host": "shop.example", "PathPrefix": "/search/", "RouteType": "safe", "TimeoutMs": 1500,
		"TargetLatencyMs": 300, "Priority": 1, "Gather": services, "MaxAttempts": 2, "TopK": topK, "MinCoverage": least}}, configured)
	if err != nil {
		return 2, err
	}
	for range zones {
		if _, err := fleet.Start(); err != nil {
			return 2, err
		}
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var sampler sync.WaitGroup
	watched := make([]watch, len(fleet.Daemons))
	for i, d := range fleet.Daemons {
		sampler.Go(func() { watched[i] = sample(fleet, d, record, stop) })
	}
	var opened atomic.Int64
	if trouble {
		for n := range clients * len(fleet.Daemons) {
			go hold(fleet.Daemons[n%len(fleet.Daemons)], n/len(fleet.Daemons), fieldBytes, &opened, stop)
		}
	}
	served, failed := sendOrdinary(fleet, record, ledger, services, length)
	close(stop)
	sampler.Wait()
	if err := record.WriteFile(output); err != nil {
		return 2, err
	}
	fmt.Printf("ordinary searches served %d, not served %d; connections of uncontrolled clients %d\n", served, failed, opened.Load())
	machines := 0
	for i, d := range fleet.Daemons {
		w := watched[i]
		fmt.Printf("%s: largest memory %d MiB of %d MiB, ended %d times\n", d.Name, w.largest>>20, rig.MemoryMB, w.ends)
		if w.ends >= endsEach {
			machines++
		}
		if w.err != nil {
			return 2, w.err
		}
	}
	if machines >= endsMachines {
		fmt.Printf("FAULT: on %d of %d machines processes ended %d times or more\n", machines, len(fleet.Daemons), endsEach)
		return 1, nil
	}
	return 0, nil
}

// watch is what was seen of a daemon: its largest anonymous memory in bytes, and how often its process ended.
type watch struct {
	largest int64
	ends    int
	err     error
}

// sample watches a daemon until stop is closed. A process that takes more memory than its machine has is killed and started again.
func sample(fleet *rig.Fleet, d *rig.Daemon, record *rig.Record, stop <-chan struct{}) (w watch) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return w
		case <-ticker.C:
		}
		memory := anonymousMemory(d)
		w.largest = max(w.largest, memory)
		if n%20 == 0 {
			record.Add(rig.Event{What: "memory", Who: d.Name, Note: fmt.Sprintf("%d MiB", memory>>20)})
		}
		if memory <= rig.MemoryMB<<20 && !d.HasExited() {
			continue
		}
		w.ends++
		record.Add(rig.Event{What: "ended", Who: d.Name, Note: fmt.Sprintf("at %d MiB", memory>>20)})
		_ = d.Signal(syscall.SIGKILL)
		<-d.Exited()
		time.Sleep(restartDelay)
		if w.err = fleet.Restart(d); w.err != nil {
			return w
		}
	}
}

// anonymousMemory returns the anonymous memory of a daemon's process in bytes, 0 if it has ended.
func anonymousMemory(d *rig.Daemon) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.Cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		var kib int64
		if _, err := fmt.Sscanf(line, "RssAnon: %d kB", &kib); err == nil {
			return kib << 10
		}
	}
	return 0
}

// head returns a head of legal size with many fields of different names.
func head(n, fieldBytes int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST /search/%d HTTP/1.1\r\nHost: shop.example\r\nChivemill-Request-Id: u%d-%d\r\nChivemill-Time-Budget: 1500\r\n", n, n, time.Now().UnixNano())
	if n%3 == 0 {
		b.WriteString("Transfer-Encoding: chunked\r\n")
	} else {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", bodyBytes)
	}
	for k := 0; b.Len() < headBytes; k++ {
		fmt.Fprintf(&b, "%c%c%c:%s\r\n", 'a'+k%26, 'a'+k/26%26, 'a'+k/676%26, strings.Repeat("v", fieldBytes-6))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// hold sends one request after the other on new connections, each but for the last bytes of its body, and stays until it is refused. Of
// three clients one sends its body whole, one piece by piece and one in chunks.
func hold(d *rig.Daemon, n, fieldBytes int, opened *atomic.Int64, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		if conn, err := net.DialTimeout("tcp", d.Callers, time.Second); err == nil {
			opened.Add(1)
			sendMost(conn, n, fieldBytes)
			_ = conn.SetReadDeadline(time.Now().Add(stay))
			_, _ = conn.Read(make([]byte, 1024))
			_ = conn.Close()
		}
		time.Sleep(pause)
	}
}

func sendMost(conn net.Conn, n, fieldBytes int) {
	if _, err := conn.Write(head(n, fieldBytes)); err != nil {
		return
	}
	piece := make([]byte, 3000)
	for left := bodyBytes - shortBy; left > 0; {
		size := min(left, len(piece))
		var err error
		switch n % 3 {
		case 0:
			_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", size, piece[:size])
		default:
			_, err = conn.Write(piece[:size])
		}
		if err != nil {
			return
		}
		left -= size
		if n%3 != 1 {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// sendOrdinary sends searches to the daemons in turn.
func sendOrdinary(fleet *rig.Fleet, record *rig.Record, ledger *rig.Ledger, services []string, length time.Duration) (served, failed int64) {
	client := &rig.Client{Host: "shop.example", Record: record}
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	var wg sync.WaitGroup
	var ok, bad atomic.Int64
	end := time.Now().Add(length)
	for n := 0; time.Now().Before(end); n++ {
		<-ticker.C
		wg.Go(func() {
			id := rig.NewID("d", n)
			a := client.Send(fleet.Daemons[n%len(fleet.Daemons)], "GET", fmt.Sprintf("/search/%d", n), id, nil, 1500*time.Millisecond)
			if a.Status == 200 && ledger.CheckGather(id, a, services, topK, least) == "" {
				ok.Add(1)
			} else {
				bad.Add(1)
			}
		})
	}
	wg.Wait()
	return ok.Load(), bad.Load()
}
