package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestProbesGoToRoutedServices guards against a daemon that takes itself for partitioned, or stays so, since its probes go to entries of
// services that no configuration names, whatever their number. Several replicas are probed also if there is one service only.
func TestProbesGoToRoutedServices(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 5
		now := time.Now()
		b := New(1)
		var list []Server
		routed, sound, total := make(map[string]bool), make(map[string]bool), 0
		for i := range rapid.IntRange(0, 4).Draw(t, "services") {
			service := fmt.Sprint("s", i)
			routed[service] = true
			for k := range rapid.IntRange(0, 6).Draw(t, "replicas") {
				list = append(list, Server{ID: fmt.Sprint(service, "-", k), Service: service, Slots: 1})
				total++
			}
		}
		for i := range rapid.SampledFrom([]int{0, 1, 16, 2000}).Draw(t, "odd entries") {
			list = append(list, Server{ID: fmt.Sprint("odd-", i), Service: fmt.Sprint("odd-", i), Slots: 1})
		}
		b.SetServers(list, now)
		for _, s := range list[:total] {
			if rapid.Bool().Draw(t, s.ID+" failed") {
				b.replicas[s.ID].failures = 1
			} else {
				sound[s.ID] = true
			}
		}
		candidates := b.ProbeCandidates(n, routed, now)
		must.Len(t, min(n, total), candidates)
		drawn, soundDrawn := make(map[string]bool), 0
		for _, s := range candidates {
			must.True(t, routed[s.Service], must.Sprint(s.ID))
			must.False(t, drawn[s.ID], must.Sprint(s.ID, " is drawn twice"))
			drawn[s.ID] = true
			if sound[s.ID] {
				soundDrawn++
			}
		}
		must.Eq(t, min(n, len(sound)), soundDrawn, must.Sprint("sound replicas come first"))
	})
}

// TestProbesTakeTurns guards against a daemon that stays isolated by the luck of a draw: each replica to which requests may go is probed after
// a bounded number of rounds.
func TestProbesTakeTurns(t *testing.T) {
	const n, services, replicas = 5, 7, 9
	now := time.Now()
	b := New(1)
	var list []Server
	routed := make(map[string]bool)
	for i := range services {
		service := fmt.Sprint("s", i)
		routed[service] = true
		for k := range replicas {
			list = append(list, Server{ID: fmt.Sprint(service, "-", k), Service: service, Slots: 1})
		}
	}
	b.SetServers(list, now)
	probed := make(map[string]bool)
	for range 2 * services * replicas / n {
		now = now.Add(time.Second)
		for _, s := range b.ProbeCandidates(n, routed, now) {
			probed[s.ID] = true
		}
	}
	must.MapLen(t, services*replicas, probed)
}
