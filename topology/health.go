package topology

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/eventlog"
	"github.com/chivemill/chivemill/quarantine"
)

const (
	// sendInterval is the time between two rounds of datagrams with this daemon's own observations.
	sendInterval = 40 * time.Millisecond
	// maxDatagramBytes bounds a datagram in bytes, below the size from which links fragment datagrams. maxUpdatesPerDatagram
	// bounds the replicas in it, which take up to 60 bytes each.
	maxDatagramBytes      = 1400
	maxUpdatesPerDatagram = 20
	// maxNoticesPerDatagram bounds the notices in a datagram, which take about 80 bytes each.
	maxNoticesPerDatagram = 10
	// socketRetryPause is the pause after the socket failed to open or to be read.
	socketRetryPause = time.Second
)

// HealthSource tracks the health and the request limits of replicas. Implementations are safe for concurrent use.
type HealthSource interface {
	// TakeHealthUpdates returns and clears the changes that this daemon observed since the last call.
	TakeHealthUpdates(now time.Time) []balancer.Health
	// ApplyHealthUpdates merges the observations of another daemon and returns the number of replicas whose health
	// changed.
	ApplyHealthUpdates(updates []balancer.Health, now time.Time) int
	// TakeLimitUpdates returns and clears the request limits to send to the other daemons.
	TakeLimitUpdates(now time.Time) []balancer.LimitUpdate
	// ApplyLimitUpdates merges the request limits that another daemon sent and returns those that changed.
	ApplyLimitUpdates(updates []balancer.LimitUpdate, now time.Time) []balancer.LimitEvent
}

// healthMessage is the content of a datagram. A follower sends it to the reader of its data centre, which forwards it to its
// followers and to the readers of the other data centres of the region; these forward it to their followers.
type healthMessage struct {
	Node string `json:"n"`
	// Hops is 0 if sent by the originating daemon, 1 by its reader, 2 by the reader of another data centre.
	Hops    int               `json:"h,omitempty"`
	Updates []balancer.Health `json:"w,omitempty"`
	// Notices identifies requests that crash replicas, Limits the request limits of replicas. Messages with either are sent
	// to all regions.
	Notices []quarantine.Notice    `json:"c,omitempty"`
	Limits  []balancer.LimitUpdate `json:"l,omitempty"`
	// Observations of requests that may crash replicas are sent to all regions too.
	Observations []quarantine.Observation `json:"o,omitempty"`
}

// LimitFields returns the log fields of a change of a replica's request limit.
func LimitFields(e balancer.LimitEvent) []zap.Field {
	return []zap.Field{
		zap.String("replica", e.Server.ID), zap.String("service", e.Server.Service), zap.Float64("per_second", e.Rate),
		zap.Float64("previous_per_second", e.Previous), zap.Int("attempts", e.Attempts),
	}
}

// concernsAllRegions reports whether the daemons of all regions need the message.
func (m *healthMessage) concernsAllRegions() bool {
	return len(m.Notices) > 0 || len(m.Limits) > 0 || len(m.Observations) > 0
}

// ShareHealth exchanges observations of the health of replicas with the daemons of the same region until ctx is done, and
// request limits and notices with the daemons of all regions. It sends and receives datagrams at Self.HealthAddress; they may be lost.
func (f *Feed) ShareHealth(ctx context.Context, source HealthSource) {
	for ctx.Err() == nil {
		err := f.exchangeHealth(ctx, source)
		if ctx.Err() == nil {
			f.log.Warn(eventlog.HealthSocketLost, zap.Error(err))
			sleep(ctx, socketRetryPause)
		}
	}
}

// exchangeHealth opens a socket and exchanges datagrams until it fails or ctx is done. It closes the socket before it
// returns the error.
func (f *Feed) exchangeHealth(ctx context.Context, source HealthSource) error {
	conn, err := f.listenPacket("udp4", f.self.HealthAddress)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { f.sendUpdates(ctx, conn, source) })
	// Closing the socket ends a blocked read.
	wg.Go(func() {
		<-ctx.Done()
		_ = conn.Close()
	})
	err = f.receive(conn, source)
	cancel()
	wg.Wait()
	return err
}

// sendUpdates periodically sends what this daemon has observed of replicas and requests until ctx is done.
func (f *Feed) sendUpdates(ctx context.Context, conn net.PacketConn, source HealthSource) {
	for ctx.Err() == nil {
		sleep(ctx, sendInterval)
		for updates := range slices.Chunk(source.TakeHealthUpdates(time.Now()), maxUpdatesPerDatagram) {
			f.forward(conn, healthMessage{Node: f.self.Node, Updates: updates})
		}
		for limits := range slices.Chunk(source.TakeLimitUpdates(time.Now()), maxUpdatesPerDatagram) {
			f.forward(conn, healthMessage{Node: f.self.Node, Limits: limits})
		}
		for notices := range slices.Chunk(f.takePendingNotices(), maxNoticesPerDatagram) {
			f.forward(conn, healthMessage{Node: f.self.Node, Notices: notices})
		}
		for observations := range slices.Chunk(f.takePendingObservations(time.Now()), maxUpdatesPerDatagram) {
			f.forward(conn, healthMessage{Node: f.self.Node, Observations: observations})
		}
	}
}

// receive handles incoming datagrams until the socket fails.
func (f *Feed) receive(conn net.PacketConn, source HealthSource) error {
	buf := make([]byte, 2*maxDatagramBytes)
	for {
		n, _, err := conn.ReadFrom(buf)
		if err != nil {
			return err
		}
		f.handleDatagram(conn, buf[:n], source)
	}
}

// handleDatagram processes and forwards a received message. An invalid one is logged, and a panic while processing it is
// recovered, so that no datagram can terminate the process.
func (f *Feed) handleDatagram(conn net.PacketConn, data []byte, source HealthSource) {
	defer func() {
		if p := recover(); p != nil {
			f.log.Error(eventlog.PanicContained, zap.Int("bytes", len(data)), zap.Any("panic", p), zap.Stack("stack"))
		}
	}()
	var m healthMessage
	if err := json.Unmarshal(data, &m); err != nil {
		f.log.Warn(eventlog.DatagramUnusable, zap.Int("bytes", len(data)), zap.Error(err))
		return
	}
	if m.Node == f.self.Node {
		return
	}
	if changed := source.ApplyHealthUpdates(m.Updates, time.Now()); changed > 0 {
		f.log.Debug(eventlog.ReplicaHealthReceived, zap.String("from", m.Node), zap.Int("replicas", changed))
	}
	for _, limit := range source.ApplyLimitUpdates(m.Limits, time.Now()) {
		f.log.Info(eventlog.ReplicaLimited, append(LimitFields(limit), zap.String("from", m.Node))...)
	}
	for _, notice := range m.Notices {
		f.notices.AddRemoteNotice(notice)
	}
	f.notices.AddRemoteObservations(m.Observations)
	if f.roles[0].isHeld() {
		m.Hops++
		f.forward(conn, m)
	}
}

// forward sends a message to the recipients of its next hop.
func (f *Feed) forward(conn net.PacketConn, m healthMessage) {
	var hosts []string
	switch reader := f.roles[0].reader(); {
	case !f.roles[0].isHeld() && reader != "":
		hosts = []string{hostOf(reader)}
	case f.roles[0].isHeld():
		hosts = f.followers.hosts(m.Node)
		if m.Hops < 2 {
			hosts = append(hosts, f.otherReaderHosts(m.concernsAllRegions())...)
			m.Hops = 1
		}
	}
	if len(hosts) == 0 {
		return
	}
	data, err := json.Marshal(m)
	if err != nil {
		f.log.Error(eventlog.DatagramUnusable, zap.Error(err))
		return
	}
	_, port, err := net.SplitHostPort(f.self.HealthAddress)
	if err != nil {
		f.log.Error(eventlog.DatagramUnusable, zap.Error(err))
		return
	}
	for _, host := range hosts {
		addr, err := net.ResolveUDPAddr("udp4", net.JoinHostPort(host, port))
		if err == nil {
			_, err = conn.WriteTo(data, addr)
		}
		if err != nil {
			f.log.Info(eventlog.PeerSilent, zap.String("address", host), zap.Error(err))
		}
	}
}

// otherReaderHosts returns the hosts of the readers of the other data centres in this region, or in all regions if all is
// set.
func (f *Feed) otherReaderHosts(all bool) []string {
	view, _ := f.dir.View()
	var hosts []string
	for name, centre := range view.DataCentres {
		if name != f.self.DataCentre && (all || f.self.Distance(name) == balancer.SameRegion) {
			hosts = append(hosts, hostOf(centre.Reader))
		}
	}
	return hosts
}

// hostOf returns the host of an address, or the address if it has no port.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
