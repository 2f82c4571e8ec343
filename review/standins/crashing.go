package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { scenarios["crashing-resend"] = runCrashingResend }

const (
	historyReplicas, historyDaemons = 20, 7
	// crashInterval is the time between two clients that send the crashing request. They begin after settleTime and end after
	// crashLength.
	crashInterval = 125 * time.Millisecond
	settleTime    = 10 * time.Second
	crashLength   = 82 * time.Second
	// soundPerSecond is the rate of sound requests.
	soundPerSecond = 20
	// contactTime is ContactMs of the settings. Of the sends later than that after the third crash, lateCrashSends may reach
	// replicas.
	contactTime    = 5 * time.Second
	lateCrashSends = 3
	// clientDelay is the time on the way between a client and a machine, 1 ms on the users' sheet. It passes twice before a machine
	// gets the request on a new connection, and once more with it.
	clientDelay = time.Millisecond
	// clientRetries is how often a client repeats a request that may be repeated.
	clientRetries = 1
)

// sendHistory sends a request on a new connection and returns its status, 0 if there is no answer, and the Retry-After.
func sendHistory(address, path, cookie, id string, budget time.Duration) (status int, retryAfter time.Duration) {
	time.Sleep(3 * clientDelay)
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(budget))
	if _, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: shop.example\r\nCookie: %s\r\nChivemill-Request-Id: %s\r\n"+
		"Chivemill-Time-Budget: %d\r\n\r\n", path, cookie, id, budget.Milliseconds()); err != nil {
		return 0, 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil {
		seconds = 0
	}
	return resp.StatusCode, time.Duration(seconds * float64(time.Second))
}

// runClient sends a request as a client does: it repeats it on another machine within its deadline, and waits as long as
// Retry-After says if that is at most a third of the time that it has left. sent is called before each send.
func (d *deployment) runClient(path, cookie, id string, budget time.Duration, sent func(id string)) {
	end := time.Now().Add(budget)
	first := rand.IntN(len(d.daemons))
	for try := 0; try <= clientRetries; try++ {
		left := time.Until(end)
		if left <= 0 {
			return
		}
		attempt := fmt.Sprintf("%s-%d", id, try)
		p := d.daemons[(first+try*(1+rand.IntN(len(d.daemons)-1)))%len(d.daemons)]
		sent(attempt)
		status, retryAfter := sendHistory(d.callerAddress(p), path, cookie, attempt, left)
		d.rec.add("client has status %d, Retry-After %.3f s, of %s from daemon %d", status, retryAfter.Seconds(), attempt, p.n)
		if status >= 200 && status < 300 || retryAfter > time.Until(end)/3 {
			return
		}
		time.Sleep(retryAfter)
	}
}

// startHistory starts the replicas, with the mean time of an execution, and the daemons.
func (d *deployment) startHistory(replicas int, meanWork time.Duration) error {
	if err := d.addService("history", replicas, replicaOptions{capacity: 4, queue: 8, maxConnections: 100, meanWork: meanWork,
		bodyBytes: 3000, keepAliveSeconds: 10}); err != nil {
		return err
	}
	if err := d.writeConfig(1, map[string]any{"Name": "r-history", "Host": "shop.example", "PathPrefix": "/h/", "RouteType": "safe",
		"TimeoutMs": 6000, "TargetLatencyMs": 1000, "Priority": 2, "Service": "history", "MaxAttempts": 2}); err != nil {
		return err
	}
	return d.startDaemons(historyDaemons)
}

// runCrashingResend checks BUDGET for a request that crashes the replicas that run it and comes again at any machine.
func runCrashingResend(d *deployment, trouble bool) (broken bool, err error) {
	if err := d.startHistory(historyReplicas, 60*time.Millisecond); err != nil {
		return false, err
	}
	path := "/h/bolinha"
	if trouble {
		path += "?" + crashMark + "=1"
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	sends := make(map[string]time.Time)
	begin := time.Now()
	nextSound := begin
	for i, next := 0, begin.Add(settleTime); next.Before(begin.Add(crashLength)); {
		if nextSound.Before(next) {
			time.Sleep(time.Until(nextSound))
			id := fmt.Sprintf("sound-%d", nextSound.UnixNano())
			wg.Go(func() { d.runClient("/h/"+id, "caller=1", id, clientBudget, func(string) {}) })
			nextSound = nextSound.Add(time.Duration(rand.ExpFloat64() / soundPerSecond * float64(time.Second)))
			continue
		}
		time.Sleep(time.Until(next))
		id := fmt.Sprintf("crash-%d", i)
		wg.Go(func() {
			d.runClient(path, "caller=1", id, clientBudget, func(attempt string) {
				mu.Lock()
				defer mu.Unlock()
				sends[attempt] = time.Now()
			})
		})
		i, next = i+1, next.Add(crashInterval)
	}
	wg.Wait()
	return d.checkCrashing(sends), nil
}

// checkCrashing counts the sends that reached a replica later than contactTime after the third crash.
func (d *deployment) checkCrashing(sends map[string]time.Time) (broken bool) {
	var crashes []time.Time
	reached := make(map[string]int)
	for _, r := range d.replicas {
		crashes = append(crashes, r.takeCrashes()...)
		for _, a := range r.takeArrivals() {
			if _, ok := sends[a.id]; ok {
				reached[a.id]++
			}
		}
	}
	for i := range crashes {
		for k := i; k > 0 && crashes[k].Before(crashes[k-1]); k-- {
			crashes[k], crashes[k-1] = crashes[k-1], crashes[k]
		}
	}
	if len(crashes) < 3 {
		d.rec.add("RESULT %d crashes", len(crashes))
		return false
	}
	late := 0
	for id, at := range sends {
		if reached[id] > 0 && at.After(crashes[2].Add(contactTime)) {
			late++
			d.rec.add("%s was sent %.3f s after the third crash and reached %d replicas", id, at.Sub(crashes[2]).Seconds(), reached[id])
		}
	}
	d.rec.add("RESULT %d sends, %d crashes; %d sends later than %v after the third crash reached a replica", len(sends), len(crashes), late, contactTime)
	return late > lateCrashSends
}
