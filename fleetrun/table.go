package main

import (
	"fmt"
	"os"
	"sort"
	"strings"

	"github.com/chivemill/chivemill/loadgen"
)

// counted formats counts as "ok 12, timeout 3" in the order of names.
func counted[N int | int64](counts map[string]N) string {
	var parts []string
	for name, n := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", name, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

// missingReasons counts the missing shards of all answers by reason.
func missingReasons(samples []loadgen.Sample) map[string]int {
	reasons := make(map[string]int)
	for _, s := range samples {
		if s.Coverage == nil {
			continue
		}
		for _, m := range s.Coverage.Missing {
			reasons[string(m.Reason)]++
		}
	}
	return reasons
}

// peak returns the service's replica with the most open connections.
func (m measured) peak(r *run, service string) (replica string, n int) {
	for _, b := range r.stand.plan.Backends {
		if b.Service == service && m.peaks[b.Replica] > n {
			replica, n = b.Replica, m.peaks[b.Replica]
		}
	}
	return replica, n
}

// overLimit counts the replicas with more open connections than their limit.
func (m measured) overLimit(r *run) int {
	over := 0
	for _, b := range r.stand.plan.Backends {
		if m.peaks[b.Replica] > b.Connections {
			over++
		}
	}
	return over
}

func (m measured) subRequests(service, cause string) float64 {
	total := 0.0
	for _, d := range m.daemons {
		total += d.sum("chivemill_sub_requests_total", `service="`+service+`"`, `cause="`+cause+`"`)
	}
	return total
}

// print writes what the phase showed beyond the tables.
func (m measured) print(r *run) {
	fmt.Printf("\n== %s: %.1f s, load average %s\n", m.name, m.elapsed.Seconds(), m.load)
	for _, n := range m.notes {
		fmt.Println("  " + n)
	}
	if reasons := missingReasons(m.samples); len(reasons) > 0 {
		fmt.Println("  missing shards:", counted(reasons))
	}
	if len(m.late) > 0 {
		fmt.Printf("  sub-requests to leaving replicas by second after SIGTERM: %v\n", m.late)
	}
	if len(m.abandoned) > 0 {
		fmt.Println("  abandoned sub-requests by replica and stage since its start:", m.abandoned)
	}
	if over := m.overLimit(r); over > 0 {
		fmt.Printf("  %d replicas had more open connections than their limit\n", over)
	}
}

func (r *run) printTables() {
	fmt.Printf("\n| %s | s | requests | p50 ms | p99 ms | p99.9 ms | max ms | mean coverage | complete | results | hedges, retries per first | peak connections, limit |\n",
		r.search.Name)
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, m := range r.phases {
		l := m.search.Latency
		first := max(1, m.subRequests(r.search.Name, "first"))
		_, peak := m.peak(r, r.search.Name)
		fmt.Printf("| %s | %.1f | %d | %.1f | %.1f | %.1f | %.1f | %.5f | %.4f | %s | %.4f, %.4f | %d, %d |\n",
			m.name, m.elapsed.Seconds(), m.search.Requests, l.P50, l.P99, l.P999, l.Max, m.search.MeanCoverage, m.search.Complete,
			counted(m.search.Results), m.subRequests(r.search.Name, "hedge")/first, m.subRequests(r.search.Name, "retry")/first,
			peak, r.search.Connections)
	}
	fmt.Printf("\n| %s (orders) | requests | p50 ms | p99 ms | max ms | results | peak connections, limit |\n|---|---|---|---|---|---|---|\n", r.order.Name)
	for _, m := range r.phases {
		l := m.order.Latency
		_, peak := m.peak(r, r.order.Name)
		fmt.Printf("| %s | %d | %.1f | %.1f | %.1f | %s | %d, %d |\n",
			m.name, m.order.Requests, l.P50, l.P99, l.Max, counted(m.order.Results), peak, r.order.Connections)
	}
	r.printDaemons()
}

// printDaemons writes the CPU time and memory of each entry daemon.
func (r *run) printDaemons() {
	fmt.Print("\n| CPU s (resident MiB) |")
	for _, e := range r.stand.plan.Entries {
		fmt.Printf(" %s |", e.Node)
	}
	fmt.Println("\n|" + strings.Repeat("---|", len(r.stand.plan.Entries)+1))
	for _, m := range r.phases {
		fmt.Printf("| %s, %.1f s |", m.name, m.elapsed.Seconds())
		for i := range r.stand.plan.Entries {
			fmt.Printf(" %.2f (%.0f) |", m.daemons[i].sum("process_cpu_seconds_total"),
				m.gauges[i].sum("process_resident_memory_bytes")/(1<<20))
		}
		fmt.Println()
	}
}

// write writes each request that failed, was partial or belongs to the slowest hundredth to a file.
func (m measured) write(file string) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	for _, s := range append(append([]loadgen.Sample{}, m.samples...), m.orders...) {
		partial := s.Coverage != nil && !s.Coverage.Complete
		slow := s.Latency.Seconds()*1000 >= m.search.Latency.P99
		if s.Result == loadgen.ResultOK && !partial && !slow {
			continue
		}
		var missing any
		if s.Coverage != nil {
			missing = s.Coverage.Missing
		}
		fmt.Fprintf(f, "%s %s %s request %s key %s run %s latency %s missing %v: %s\n", s.Sent.Format("15:04:05.000"),
			s.Target, s.Result, s.RequestID, s.Key, s.Run, s.Latency.Round(100_000), missing, s.Message)
	}
	return f.Close()
}
