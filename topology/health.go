package topology

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/eventlog"
	"github.com/chivemill/chivemill/quarantine"
)

const (
	// tellEvery is the time between two datagrams of a daemon about the health of replicas.
	tellEvery = 40 * time.Millisecond
	// maxDatagram bounds a datagram in bytes, below the size at which links split them, and mostPerDatagram the replicas
	// in it: each takes up to 60 bytes.
	maxDatagram     = 1400
	mostPerDatagram = 20
	// crashingPerDatagram is the number of notices in a datagram, of about 80 bytes each.
	crashingPerDatagram = 10
	// healthRetry is the pause after the socket could not be opened or read.
	healthRetry = time.Second
)

// HealthSource holds the health of replicas. Implementations are safe for concurrent use.
type HealthSource interface {
	// TakeNews returns what changed since the last call.
	TakeNews(now time.Time) []balancer.Health
	// Hear takes what another daemon told and returns the number of replicas that it changed.
	Hear(news []balancer.Health, now time.Time) int
}

// healthMessage is a datagram. A follower sends it to the reader of its data centre, which passes it on once to its
// followers and to the readers of the same region's other data centres, and these to their followers.
type healthMessage struct {
	Node string `json:"n"`
	// Hops is 0 from a daemon, 1 from its reader, 2 from another data centre's reader.
	Hops int               `json:"h,omitempty"`
	News []balancer.Health `json:"w,omitempty"`
	// Crashing holds requests that crash replicas; they go to all regions.
	Crashing []quarantine.Notice `json:"c,omitempty"`
}

// Learner takes requests that crash replicas. Implementations are safe for concurrent use.
type Learner interface {
	Learn(notice quarantine.Notice)
}

// maxCrashing bounds the notices that wait to be told.
const maxCrashing = 64

// Publish implements quarantine.Publisher: the notice goes out with the next datagram.
func (f *Feed) Publish(notice quarantine.Notice) {
	f.log.Warn(eventlog.RequestCrashing, zap.String("fingerprint", notice.Fingerprint), zap.Time("until", notice.Until))
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashing) < maxCrashing {
		f.crashing = append(f.crashing, notice)
	}
}

func (f *Feed) takeCrashing() []quarantine.Notice {
	f.mu.Lock()
	defer f.mu.Unlock()
	crashing := f.crashing
	f.crashing = nil
	return crashing
}

// ShareHealth tells the daemons of the same region what this one learns of replicas, and takes what they tell, until
// ctx ends. Datagrams go to and from Self.HealthAddress; they may be lost.
func (f *Feed) ShareHealth(ctx context.Context, source HealthSource, learner Learner) {
	for ctx.Err() == nil {
		conn, err := net.ListenPacket("udp4", f.self.HealthAddress)
		if err != nil {
			f.log.Warn(eventlog.HealthSocketLost, zap.Error(err))
			sleep(ctx, healthRetry)
			continue
		}
		end := context.AfterFunc(ctx, func() { _ = conn.Close() })
		go f.tell(ctx, conn, source)
		err = f.listen(conn, source, learner)
		end()
		if ctx.Err() == nil {
			f.log.Warn(eventlog.HealthSocketLost, zap.Error(err))
			sleep(ctx, healthRetry)
		}
	}
}

// tell sends this daemon's news until ctx ends or the socket fails.
func (f *Feed) tell(ctx context.Context, conn net.PacketConn, source HealthSource) {
	for ctx.Err() == nil {
		sleep(ctx, tellEvery)
		for news := range slices.Chunk(source.TakeNews(time.Now()), mostPerDatagram) {
			f.spread(conn, healthMessage{Node: f.self.Node, News: news})
		}
		for crashing := range slices.Chunk(f.takeCrashing(), crashingPerDatagram) {
			f.spread(conn, healthMessage{Node: f.self.Node, Crashing: crashing})
		}
	}
}

// listen takes datagrams until the socket fails.
func (f *Feed) listen(conn net.PacketConn, source HealthSource, learner Learner) error {
	buf := make([]byte, 2*maxDatagram)
	for {
		n, _, err := conn.ReadFrom(buf)
		if err != nil {
			return err
		}
		f.takeDatagram(conn, buf[:n], source, learner)
	}
}

// takeDatagram takes a message about health or crashing requests. One that cannot be used, whatever it holds, is logged and ends nothing.
func (f *Feed) takeDatagram(conn net.PacketConn, data []byte, source HealthSource, learner Learner) {
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
	if changed := source.Hear(m.News, time.Now()); changed > 0 {
		f.log.Debug(eventlog.HealthHeard, zap.String("from", m.Node), zap.Int("replicas", changed))
	}
	for _, notice := range m.Crashing {
		learner.Learn(notice)
	}
	if f.levels[0].isHeld() {
		m.Hops++
		f.spread(conn, m)
	}
}

// spread sends a message on its next hop.
func (f *Feed) spread(conn net.PacketConn, m healthMessage) {
	var to []string
	switch reader := f.levels[0].reader(); {
	case !f.levels[0].isHeld() && reader != "":
		to = []string{hostOf(reader)}
	case f.levels[0].isHeld():
		to = f.following.hosts(m.Node)
		if m.Hops < 2 {
			to = append(to, f.neighbours(len(m.Crashing) > 0)...)
			m.Hops = 1
		}
	}
	if len(to) == 0 {
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
	for _, host := range to {
		addr, err := net.ResolveUDPAddr("udp4", net.JoinHostPort(host, port))
		if err == nil {
			_, err = conn.WriteTo(data, addr)
		}
		if err != nil {
			f.log.Info(eventlog.PeerSilent, zap.String("address", host), zap.Error(err))
		}
	}
}

// neighbours returns the hosts of the readers of the same region's other data centres, or of all other data centres.
func (f *Feed) neighbours(all bool) []string {
	view, _ := f.dir.View()
	var hosts []string
	for name, centre := range view.Centres {
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
