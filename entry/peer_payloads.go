package entry

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/chivemill/chivemill/oncerun"
	"github.com/chivemill/chivemill/quarantine"
	"github.com/chivemill/chivemill/signal"
)

// Broadcast implements confsync.Broadcaster.
func (p *peers) Broadcast(payload []byte) {
	tagged := addKind(payloadConfig, payload)
	p.mu.Lock()
	p.recentPayloads.add(xxhash.Sum64(tagged))
	p.mu.Unlock()
	p.transport.Broadcast(configKey(tagged), tagged)
}

// addKind prefixes a membership payload with its kind.
func addKind(kind byte, payload []byte) []byte { return append([]byte{kind}, payload...) }

func configKey(tagged []byte) string {
	return "c" + strconv.FormatUint(xxhash.Sum64(tagged), 16)
}

// deliverPayload handles a payload that the membership protocol received. It returns the payload's broadcast key and
// whether it is new. The transport calls it with its lock held, so configuration notices are queued for another
// goroutine.
func (p *peers) deliverPayload(payload []byte) (key string, isNew bool) {
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
	isNew = p.recentPayloads.add(xxhash.Sum64(payload))
	p.mu.Unlock()
	if isNew {
		select {
		case p.configNotices <- append([]byte(nil), payload[1:]...):
		default:
		}
	}
	return configKey(payload), isNew
}

func (p *peers) deliverSignal(payload []byte) (string, bool) {
	s, crash, err := signal.Decode(payload)
	if err != nil {
		return "", false
	}
	p.mu.Lock()
	key, isNew, err := signal.MergePayload(time.Now(), p.signals, p.crashes, payload)
	p.mu.Unlock()
	if err != nil || !isNew {
		return key, false
	}
	if crash != nil {
		p.onCrashNotice(quarantine.Notice{
			Fingerprint: formatFingerprint(crash.Fingerprint), Until: time.Unix(int64(crash.Until), 0),
		})
		return key, true
	}
	p.onSignal(*s)
	return key, true
}

// forwardNotices passes queued configuration notices to the configuration runner until ctx ends.
func (p *peers) forwardNotices(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-p.configNotices:
			p.runner.HandleNotice(n)
		}
	}
}

// raiseSignal broadcasts a replica state that this daemon observed, unless it is already known.
func (p *peers) raiseSignal(replica string, incarnation int64, state signal.State) {
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
	tagged := addKind(payloadSignal, payload)
	p.mu.Lock()
	p.signalRepeater.add(now, key, tagged)
	p.mu.Unlock()
	p.transport.BroadcastUrgent(key, tagged)
}

// repeatSignals rebroadcasts the signals that this daemon raised recently and that are due.
func (p *peers) repeatSignals(now time.Time) {
	p.mu.Lock()
	due := p.signalRepeater.due(now)
	p.mu.Unlock()
	for _, s := range due {
		p.transport.Broadcast(s.key, s.payload)
	}
}

// Publish implements quarantine.Publisher.
func (p *peers) Publish(n quarantine.Notice) {
	key, payload, err := p.recordCrash(time.Now(), n)
	switch {
	case err != nil:
		p.log.Warn("notice of a crashing request is not sent", zap.String("fingerprint", n.Fingerprint), zap.Error(err))
	case payload != nil:
		p.transport.BroadcastUrgent(key, payload)
	}
}

// recordCrash records the notice and returns the payload to broadcast, which is nil for a notice that is known or ends now. The payload is
// rebroadcast while the notice is in force, so that daemons that join later learn it.
func (p *peers) recordCrash(now time.Time, n quarantine.Notice) (key string, payload []byte, err error) {
	fingerprint, err := parseFingerprint(n.Fingerprint)
	if err != nil {
		return "", nil, err
	}
	crash := signal.Crash{Fingerprint: fingerprint, Until: uint64(n.Until.Unix())}
	p.mu.Lock()
	defer p.mu.Unlock()
	if isNew, err := p.crashes.Merge(now, crash); err != nil || !isNew {
		return "", nil, err
	}
	key, encoded, err := signal.EncodeCrash(crash)
	if err != nil {
		return "", nil, err
	}
	payload = addKind(payloadSignal, encoded)
	p.signalRepeater.add(now, key, payload)
	return key, payload, nil
}

// Peers exchange a fingerprint as the first 64 bits of the request's hash.
func formatFingerprint(f uint64) string { return fmt.Sprintf("%016x", f) }

func parseFingerprint(s string) (uint64, error) { return strconv.ParseUint(s, 16, 64) }

// crashFingerprint returns the fingerprint under which the quarantine tracks a request.
func crashFingerprint(service, query string) string {
	return oncerun.Fingerprint(service, query)[:16]
}

// recentHashes is a bounded set of recent hashes. When the current generation is full, it replaces the previous one.
type recentHashes struct{ current, previous map[uint64]struct{} }

// add adds the hash and reports whether it is new.
func (s *recentHashes) add(h uint64) bool {
	if _, ok := s.current[h]; ok {
		return false
	}
	if _, ok := s.previous[h]; ok {
		return false
	}
	if s.current == nil || len(s.current) >= maxRecentHashes {
		s.previous, s.current = s.current, make(map[uint64]struct{}, maxRecentHashes)
	}
	s.current[h] = struct{}{}
	return true
}
