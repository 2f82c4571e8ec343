// Command review-frozen-reader plays case 8 of the second review: the daemon that reads the list of replicas for the fleet stands still for
// less than three seconds while a replica leaves.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/chivemill/chivemill/review/second/stand"
)

const (
	host   = "loja.example"
	shards = 4
	// frozenFor is how long the machine stands still; the site's dose is 3.5 s.
	frozenFor = 2700 * time.Millisecond
	// drainTime is the bound DrainMs of the settings.
	drainTime = 3000 * time.Millisecond
	// rounds is the number of freezes, each with another replica that leaves. A daemon whose zone lacks three shards would have another one
	// answer for them, so that the sender would not be known.
	rounds = 2
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

// clients send queries to all daemons and remember when and to which one.
type clients struct {
	world   *stand.World
	daemons []*stand.Daemon

	mu   sync.Mutex
	sent map[string]sending
}

type sending struct {
	at     time.Time
	daemon *stand.Daemon
}

func (c *clients) run(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		id, d := stand.NewID(), c.daemons[i%len(c.daemons)]
		c.mu.Lock()
		c.sent[id] = sending{time.Now(), d}
		c.mu.Unlock()
		go c.world.Send(d, http.MethodGet, host, fmt.Sprintf("/pesquisa/%d", i), id, nil, 1500*time.Millisecond)
		time.Sleep(15 * time.Millisecond)
	}
}

// fleetReader returns the daemon that holds the claim of the fleet's reader.
func fleetReader(world *stand.World, daemons []*stand.Daemon) (*stand.Daemon, error) {
	item, found, err := world.Store.Memory.Get(context.Background(), "chivemill/readers/fleet")
	if err != nil || !found {
		return nil, fmt.Errorf("nobody holds the claim of the fleet's reader: %v", err)
	}
	var claim struct {
		Node string `json:"node"`
	}
	if err := json.Unmarshal(item.Value, &claim); err != nil {
		return nil, err
	}
	for _, d := range daemons {
		if d.Name == claim.Node {
			return d, nil
		}
	}
	return nil, fmt.Errorf("no daemon is named %q", claim.Node)
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
	byZone := make(map[string][]*stand.Replica)
	var gather []string
	var services []map[string]any
	for i := range shards {
		service := fmt.Sprintf("loja-web-%d", i+1)
		gather = append(gather, service)
		services = append(services, map[string]any{"Name": service, "MaxConnections": 41})
		for _, zone := range names {
			r, err := world.StartReplica(service, zone, 5, func(a stand.Arrival) stand.Verdict {
				return stand.Verdict{Work: 8 * time.Millisecond, Body: bytes.Repeat([]byte(a.ID), 8)}
			})
			if err != nil {
				return false, err
			}
			byZone[zone] = append(byZone[zone], r)
		}
	}
	err = world.Config(1, []map[string]any{{"Name": "pesquisa", "Host": host, "PathPrefix": "/pesquisa/", "RouteType": "safe", "TimeoutMs": 1500,
		"TargetLatencyMs": 300, "Priority": 1, "MaxAttempts": 3, "Gather": gather, "TopK": 5, "MinCoverage": 0.75}}, services)
	if err != nil {
		return false, err
	}
	var daemons []*stand.Daemon
	for _, zone := range append(names, names...) {
		d, err := world.StartDaemon(stand.DaemonOptions{Zone: zone, Region: zones[zone], Zones: zones, CPUShare: 0.4})
		if err != nil {
			return false, err
		}
		daemons = append(daemons, d)
	}
	time.Sleep(10 * time.Second)
	c := &clients{world: world, daemons: daemons, sent: make(map[string]sending)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.run(ctx)
	time.Sleep(2 * time.Second)

	late, total := 0, 0
	for round := range rounds {
		reader, err := fleetReader(world, daemons)
		if err != nil {
			return false, err
		}
		zone := names[0]
		if reader.Zone == zone {
			zone = names[1]
		}
		leaving := byZone[zone][round]
		frozen := make(chan error, 1)
		go func() {
			if !trouble {
				frozen <- nil
				return
			}
			record.Line("%s, the fleet's reader, stands still", reader.Name)
			err := reader.Freeze(frozenFor)
			record.Line("%s goes on", reader.Name)
			frozen <- err
		}()
		time.Sleep(200 * time.Millisecond)
		acceptedAt, err := leaving.Unlist()
		if err != nil {
			return false, err
		}
		if err := <-frozen; err != nil {
			return false, err
		}
		// Longer than ContactMs, so that every machine is in touch again before the next freeze.
		time.Sleep(10 * time.Second)
		for _, a := range leaving.Arrivals() {
			c.mu.Lock()
			s := c.sent[a.ID]
			c.mu.Unlock()
			// The machine that stood still is not in touch.
			if s.daemon == reader || a.At.Before(acceptedAt) {
				continue
			}
			total++
			if a.At.Sub(acceptedAt) > drainTime && s.at.Sub(acceptedAt) > drainTime {
				late++
				record.Line("DRAIN: %s, which a client sent to %s %d ms after the store had accepted that %s leaves, reaches it %d ms after that", a.ID, s.daemon.Name,
					s.at.Sub(acceptedAt).Milliseconds(), leaving.ID, a.At.Sub(acceptedAt).Milliseconds())
			}
		}
	}
	summary := fmt.Sprintf("%d requests reached replicas that had left, from daemons that had not stood still; %d of them were sent and arrived later than DrainMs", total, late)
	record.Line("%s", summary)
	fmt.Println(summary)
	return late > 0, nil
}
