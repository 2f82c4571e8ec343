package membership

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// seedsInterval is the interval at which the transport reads the seeds from its SeedSource.
const seedsInterval = 10 * time.Second

// Transport runs a Node over a UDP socket. It is safe for concurrent use.
type Transport struct {
	conn  *net.UDPConn
	seeds SeedSource
	log   *zap.Logger

	mu   sync.Mutex
	node *Node
}

// Listen opens a UDP socket at the node's own address and returns a transport, to be started with Run. Config.Deliver
// is called with the transport's lock held and must not call the transport's methods.
func Listen(cfg Config, seeds SeedSource, log *zap.Logger) (*Transport, error) {
	addr, err := net.ResolveUDPAddr("udp", cfg.Self.Address)
	if err != nil {
		return nil, eris.Wrap(err, "resolve membership address")
	}
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, eris.Wrap(err, "listen on membership address")
	}
	// If the configured port is 0, the operating system chose one.
	cfg.Self.Address = conn.LocalAddr().String()
	return &Transport{conn: conn, seeds: seeds, log: log, node: NewNode(cfg)}, nil
}

// Address returns the address of the socket as host:port.
func (t *Transport) Address() string { return t.conn.LocalAddr().String() }

// Run runs the node until the context ends and then closes the socket. It returns nil if the context ended.
func (t *Transport) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { _ = t.conn.Close() })
	defer stop()
	group.Go(func() error { return t.receive(ctx) })
	group.Go(func() error { return t.tick(ctx) })
	group.Go(func() error { return t.refreshSeeds(ctx) })
	return group.Wait()
}

// Leave announces a planned leave. Run has to continue until the announcement has propagated; package entry waits 1 s.
func (t *Transport) Leave() {
	t.mu.Lock()
	packets := t.node.Leave(time.Now())
	t.mu.Unlock()
	t.write(packets)
}

// SetSeeds calls Node.SetSeeds. It is for a daemon that reads the VM list itself and does not want to wait until the
// SeedSource is read again.
func (t *Transport) SetSeeds(seeds []Seed) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.node.SetSeeds(seeds)
}

// Broadcast calls Node.Broadcast.
func (t *Transport) Broadcast(key string, payload []byte) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.node.Broadcast(key, payload)
}

// BroadcastUrgent calls Node.BroadcastUrgent and sends the packets.
func (t *Transport) BroadcastUrgent(key string, payload []byte) {
	t.mu.Lock()
	packets := t.node.BroadcastUrgent(key, payload)
	t.mu.Unlock()
	t.write(packets)
}

// HasMemberList calls Node.HasMemberList.
func (t *Transport) HasMemberList() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.node.HasMemberList()
}

// Members calls Node.Members.
func (t *Transport) Members() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.node.Members()
}

// Stats calls Node.Stats.
func (t *Transport) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.node.Stats()
}

func (t *Transport) receive(ctx context.Context) error {
	// The buffer is one byte larger than MaxDatagram, so that the node can detect and reject larger datagrams.
	buf := make([]byte, MaxDatagram+1)
	for {
		size, from, err := t.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) && ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return eris.Wrap(err, "membership socket closed unexpectedly")
		}
		if err != nil {
			// The error may report an earlier datagram that could not be delivered; the socket stays usable.
			t.log.Debug("membership read", zap.Error(err))
			continue
		}
		// A dual-stack socket reports IPv4 peers as IPv4-mapped IPv6 addresses, unlike the peers' records.
		peer := netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		t.mu.Lock()
		packets := t.node.Receive(time.Now(), peer.String(), buf[:size])
		t.mu.Unlock()
		t.write(packets)
	}
}

func (t *Transport) tick(ctx context.Context) error {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		t.mu.Lock()
		packets := t.node.Tick(time.Now())
		t.mu.Unlock()
		t.write(packets)
	}
}

func (t *Transport) refreshSeeds(ctx context.Context) error {
	ticker := time.NewTicker(seedsInterval)
	defer ticker.Stop()
	for {
		seeds, err := t.seeds.Seeds(ctx)
		if err != nil && ctx.Err() == nil {
			t.log.Warn("membership seeds", zap.Error(err))
		}
		if err == nil {
			t.mu.Lock()
			t.node.SetSeeds(seeds)
			t.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// write sends the packets. Errors are only logged, because the protocol tolerates packet loss. Host names are not
// resolved, because the addresses come from peers.
func (t *Transport) write(packets []Packet) {
	for _, p := range packets {
		addr, err := netip.ParseAddrPort(p.To)
		if err == nil {
			_, err = t.conn.WriteToUDPAddrPort(p.Data, addr)
		}
		if err != nil && !errors.Is(err, net.ErrClosed) {
			t.log.Debug("membership write", zap.String("to", p.To), zap.Error(err))
		}
	}
}
