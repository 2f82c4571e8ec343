package entry

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivemill/chivemill/oncerun"
	"github.com/chivemill/chivemill/quarantine"
	"github.com/chivemill/chivemill/signal"
)

// Broadcast implements confsync.Broadcaster.
func (p *peers) Broadcast(payload []byte) {
	tagged := tag(payloadConfig, payload)
	p.mu.Lock()
	p.seen.add(xxhash.Sum64(tagged))
	p.mu.Unlock()
	p.transport.Broadcast(configKey(tagged), tagged)
}

// tag puts the kind of a payload before it.
func tag(kind byte, payload []byte) []byte { return append([]byte{kind}, payload...) }

func configKey(tagged []byte) string {
	return "c" + strconv.FormatUint(xxhash.Sum64(tagged), 16)
}

// deliver takes a payload of the membership. The transport's lock is held, so it hands configuration notices to
// another goroutine.
func (p *peers) deliver(payload []byte) (key string, fresh bool) {
	if len(payload) < 2 {
		return "", false
	}
	if payload[0] == payloadSignal {
		return p.deliverSignal(payload[1:])
	}
	if payload[0] != payloadConfig {
		return "", false
	}
	p.mu.Lock()
	fresh = p.seen.add(xxhash.Sum64(payload))
	p.mu.Unlock()
	if fresh {
		select {
		case p.notices <- append([]byte(nil), payload[1:]...):
		default:
		}
	}
	return configKey(payload), fresh
}

func (p *peers) deliverSignal(payload []byte) (string, bool) {
	s, crash, err := signal.Decode(payload)
	if err != nil {
		return "", false
	}
	p.mu.Lock()
	key, fresh, err := signal.MergePayload(time.Now(), p.signals, p.crashes, payload)
	p.mu.Unlock()
	if err != nil || !fresh {
		return key, false
	}
	if crash != nil {
		p.crashed(quarantine.Notice{
			Fingerprint: formatFingerprint(crash.Fingerprint), Until: time.Unix(int64(crash.Until), 0),
		})
		return key, true
	}
	p.learned(*s)
	return key, true
}

func (p *peers) passNotices(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-p.notices:
			p.runner.HandleNotice(n)
		}
	}
}

// raise tells the peers what this daemon observed of a replica.
func (p *peers) raise(replica string, incarnation int64, state signal.State) {
	now := time.Now()
	p.mu.Lock()
	s, changed, err := p.signals.Raise(now, replica, uint64(incarnation), state)
	p.mu.Unlock()
	if err != nil || !changed {
		return
	}
	key, payload, err := signal.Encode(s)
	if err != nil {
		return
	}
	tagged := tag(payloadSignal, payload)
	p.mu.Lock()
	p.repeater.add(now, key, tagged)
	p.mu.Unlock()
	p.transport.BroadcastUrgent(key, tagged)
}

// repeatMarks sends the marks that this daemon raised lately again.
func (p *peers) repeatMarks(now time.Time) {
	p.mu.Lock()
	due := p.repeater.due(now)
	p.mu.Unlock()
	for _, m := range due {
		p.transport.Broadcast(m.key, m.payload)
	}
}

// Publish implements quarantine.Publisher.
func (p *peers) Publish(n quarantine.Notice) {
	fingerprint, err := parseFingerprint(n.Fingerprint)
	if err != nil {
		return
	}
	crash := signal.Crash{Fingerprint: fingerprint, Until: uint64(n.Until.Unix())}
	p.mu.Lock()
	_, err = p.crashes.Merge(time.Now(), crash)
	p.mu.Unlock()
	if err != nil {
		return
	}
	if key, payload, err := signal.EncodeCrash(crash); err == nil {
		p.transport.BroadcastUrgent(key, tag(payloadSignal, payload))
	}
}

// A fingerprint travels as the first 64 bits of the request's hash.
func formatFingerprint(f uint64) string { return fmt.Sprintf("%016x", f) }

func parseFingerprint(s string) (uint64, error) { return strconv.ParseUint(s, 16, 64) }

// crashFingerprint identifies a request for the quarantine.
func crashFingerprint(service, query string) string {
	return oncerun.Fingerprint(service, query)[:16]
}

// seenSet recognises hashes that were added among the last ones, in two generations.
type seenSet struct{ young, old map[uint64]struct{} }

// add reports whether the hash is new.
func (s *seenSet) add(h uint64) bool {
	if _, ok := s.young[h]; ok {
		return false
	}
	if _, ok := s.old[h]; ok {
		return false
	}
	if s.young == nil || len(s.young) >= seenPayloads {
		s.old, s.young = s.young, make(map[uint64]struct{}, seenPayloads)
	}
	s.young[h] = struct{}{}
	return true
}
