package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// callerInterval is the time between two requests of the caller whose requests crash replicas, callerLength the length of the
	// case.
	callerInterval = 2 * time.Second
	callerLength   = 60 * time.Second
	// callerReplicas is the number of replicas, callerWork the mean time of an execution, that of sugestao-nome on the
	// users' sheet.
	callerReplicas = 40
	callerWork     = 9 * time.Millisecond
	// popularPerSecond is the rate of the same request from other callers, popularCallers their number.
	popularPerSecond = 45
	popularCallers   = 12
)

func init() { scenarios["crashing-caller"] = runCrashingCaller }

// runCrashingCaller checks BUDGET for a request that crashes the replicas that run it, while other callers send requests with the
// same path, which do not.
func runCrashingCaller(d *deployment, trouble bool) (broken bool, err error) {
	if err := d.startHistory(callerReplicas, callerWork); err != nil {
		return false, err
	}
	const path = "/h/catalogue"
	var wg sync.WaitGroup
	var mu sync.Mutex
	sends := make(map[string]time.Time)
	begin := time.Now()
	nextCrash := begin.Add(settleTime)
	for i, next := 0, begin; next.Before(begin.Add(callerLength)); i++ {
		time.Sleep(time.Until(next))
		id := fmt.Sprintf("sound-%d", i)
		wg.Go(func() {
			d.runClient(path, fmt.Sprintf("caller=%d", rand.IntN(popularCallers)), id, clientBudget, func(string) {})
		})
		if trouble && next.After(nextCrash) {
			id := fmt.Sprintf("crash-%d", i)
			wg.Go(func() {
				d.runClient(path, crashCaller, id, clientBudget, func(attempt string) {
					mu.Lock()
					defer mu.Unlock()
					sends[attempt] = time.Now()
				})
			})
			nextCrash = nextCrash.Add(callerInterval)
		}
		next = next.Add(time.Duration(rand.ExpFloat64() / popularPerSecond * float64(time.Second)))
	}
	wg.Wait()
	return d.checkCrashing(sends), nil
}
