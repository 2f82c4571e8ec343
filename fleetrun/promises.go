package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"

	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/internal/standin/backend"
	"github.com/chivemill/chivemill/loadgen"
)

// lateSecond is the second after the stop signal from which a leaving replica may get no new work.
const lateSecond = 3

// readLines decodes each JSON line of a file; a file that does not exist has none.
func readLines[T any](file string) ([]T, error) {
	f, err := os.Open(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var values []T
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		var v T
		if err := json.Unmarshal(lines.Bytes(), &v); err != nil {
			return nil, eris.Wrap(err, file)
		}
		values = append(values, v)
	}
	return values, lines.Err()
}

// brokenAnswers names the requests whose answers break a promise by themselves. A request without an answer is one
// of them: no entry daemon is killed, so each request has to be answered.
func brokenAnswers(samples []loadgen.Sample, records int) []string {
	var broken []string
	for _, s := range samples {
		switch {
		case s.Result == loadgen.ResultBroken, s.Result == loadgen.ResultTransport:
			broken = append(broken, fmt.Sprintf("%s from %s: %s", s.Result, s.Target, s.Message))
		case s.Result == loadgen.ResultOK && s.Key == "" && s.Coverage.Complete && s.Records != records:
			broken = append(broken, fmt.Sprintf("request %s: complete with %d of %d records", s.RequestID, s.Records, records))
		}
	}
	return broken
}

// brokenOrders compares the orders' answers with the executions by key.
func brokenOrders(orders []loadgen.Sample, executions map[string]int) []string {
	var broken []string
	for key, n := range executions {
		if n > 1 {
			broken = append(broken, fmt.Sprintf("order %s was executed %d times", key, n))
		}
	}
	for _, s := range orders {
		n := executions[s.Key]
		switch {
		case s.Run == api.RunNever && n > 0:
			broken = append(broken, fmt.Sprintf("request %s: %s with run never, but order %s was executed", s.RequestID, s.Result, s.Key))
		case s.Result == loadgen.ResultOK && n == 0:
			broken = append(broken, fmt.Sprintf("request %s: answered, but order %s was not executed", s.RequestID, s.Key))
		}
	}
	return broken
}

// brokenDrains names the replicas that got new work too long after their stop signal.
func brokenDrains(reports map[string][]backend.Counters) []string {
	var broken []string
	for replica, counters := range reports {
		for _, c := range counters {
			if len(c.WorkAfterDrain) > lateSecond {
				broken = append(broken, fmt.Sprintf("%s got work %d ms after its stop signal, by second %v",
					replica, c.LastWorkAfterDrainMS, c.WorkAfterDrain))
			}
		}
	}
	return broken
}

// executions counts the executions of each key in the logs of all replicas.
func (s *stand) executions() (map[string]int, error) {
	counts := make(map[string]int)
	for _, b := range s.plan.Backends {
		logged, err := readLines[backend.Execution](b.ExecutionLog)
		if err != nil {
			return nil, err
		}
		for _, e := range logged {
			counts[e.Key]++
		}
	}
	return counts, nil
}
