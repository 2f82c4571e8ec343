package main

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	noteReplicas, noteDaemons = 20, 3
	// notesPerSecond is the rate of the users' site on all routes together, less than its 225; notesLength the length of the case.
	notesPerSecond = 180
	notesLength    = 100 * time.Second
	// spoilers of the replicas (0.6) spoil answers for spoilTime, with a pause of spoilPause (garble, extra).
	spoilers   = 12
	spoilTime  = 5 * time.Second
	spoilPause = time.Second
	// noteBytes is the mean size of an answer.
	noteBytes = 100
)

func init() { scenarios["spoiled-answers"] = runSpoiledAnswers }

// noteOf returns the body of the answer to a request.
func noteOf(id string) []byte {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	rng := rand.New(rand.NewPCG(h.Sum64(), 1))
	body := make([]byte, noteBytes*8/10+rng.IntN(noteBytes*4/10))
	for i := range body {
		body[i] = byte('a' + rng.IntN(26))
	}
	return body
}

// runSpoiledAnswers checks MIXED: some replicas break off some of their answers and send a second one behind them.
func runSpoiledAnswers(d *deployment, trouble bool) (broken bool, err error) {
	if err := d.addService("notes", noteReplicas, replicaOptions{capacity: 5, queue: 30, maxConnections: 100, meanWork: 9 * time.Millisecond,
		keepAliveSeconds: 10, bodyOf: noteOf}); err != nil {
		return false, err
	}
	if err := d.writeConfig(1, map[string]any{"Name": "r-notes", "Host": "shop.example", "PathPrefix": "/n/", "RouteType": "safe",
		"TimeoutMs": 800, "TargetLatencyMs": 150, "Priority": 2, "Service": "notes", "MaxAttempts": 2}); err != nil {
		return false, err
	}
	if err := d.startDaemons(noteDaemons); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[int]int)
	mixed := 0
	begin := time.Now()
	for i, next := 0, begin; next.Before(begin.Add(notesLength)); i++ {
		time.Sleep(time.Until(next))
		isSpoiling := trouble && time.Since(begin)%(spoilTime+spoilPause) >= spoilPause
		for _, r := range d.replicas[:spoilers] {
			r.spoiling.Store(isSpoiling)
		}
		id, address := fmt.Sprintf("note-%d", i), d.callerAddress(d.daemons[rand.IntN(noteDaemons)])
		wg.Go(func() {
			status, body, ok := getNote(address, id)
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
			if ok && status == http.StatusOK && !bytes.Equal(body, noteOf(id)) {
				mixed++
				d.rec.add("MIXED: the answer to %s is %q, the replica's whole body is %q", id, body, noteOf(id))
			}
		})
		next = next.Add(time.Duration(rand.ExpFloat64() / notesPerSecond * float64(time.Second)))
	}
	wg.Wait()
	d.rec.add("RESULT %d answers with status 200 and a stamp had another body than the replica's; statuses %v", mixed, statuses)
	return mixed > 0, nil
}

// getNote sends a request on a new connection. ok reports whether the answer is complete and has a stamp.
func getNote(address, id string) (status int, body []byte, ok bool) {
	const budget = 800 * time.Millisecond
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, nil, false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(budget))
	if _, err := fmt.Fprintf(conn, "GET /n/%s HTTP/1.1\r\nHost: shop.example\r\nChivemill-Request-Id: %s\r\nChivemill-Time-Budget: %d\r\n\r\n",
		id, id, budget.Milliseconds()); err != nil {
		return 0, nil, false
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, nil, false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err = io.ReadAll(resp.Body)
	return resp.StatusCode, body, err == nil && resp.Header.Get("Chivemill-Response-Stamp") != ""
}
