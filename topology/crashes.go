package topology

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/chivemill/chivemill/eventlog"
	"github.com/chivemill/chivemill/internal/httpjson"
	"github.com/chivemill/chivemill/quarantine"
)

// NoticeHandler holds what this daemon knows of requests that crash replicas, and receives what other daemons know.
// Implementations are safe for concurrent use.
type NoticeHandler interface {
	// Notices returns the notices in force, in no particular order.
	Notices() []quarantine.Notice
	AddRemoteNotice(notice quarantine.Notice)
	AddRemoteObservations(observations []quarantine.Observation)
}

// SetNoticeHandler sets the holder of notices. It must be called before Run and ShareHealth.
func (f *Feed) SetNoticeHandler(h NoticeHandler) { f.notices = h }

// noNotices is a NoticeHandler that holds nothing.
type noNotices struct{}

func (noNotices) Notices() []quarantine.Notice                     { return nil }
func (noNotices) AddRemoteNotice(quarantine.Notice)                {}
func (noNotices) AddRemoteObservations(_ []quarantine.Observation) {}

const (
	// maxPendingNotices bounds the notices that wait to be sent; further ones are dropped.
	maxPendingNotices = 64
	// maxPendingObservations bounds the observations that wait to be sent; further ones are dropped. When many replicas fail at
	// once, nearly every request makes some.
	maxPendingObservations = 40
	// minObservationInterval is the minimum time between two rounds of datagrams with observations. It limits their number when
	// many replicas fail, and is shorter than the time after which callers usually resend a request.
	minObservationInterval = 500 * time.Millisecond
	// PathNotices is the path at which Handler takes the notices that another daemon has and this one lacks.
	PathNotices = "/v1/notices"
	// headerNoticeDigest holds the digest of the follower's notices in a pull, as a hexadecimal number.
	headerNoticeDigest = "Chivemill-Notice-Digest"
	// maxPulledNotices bounds the notices in a pull and in its response, about 80 bytes each.
	maxPulledNotices = 200
)

// noticeSet is the part of a daemon's notices that pulls exchange: those that expire last. A datagram with a notice may be
// lost, and a daemon that starts later has not received it, so daemons compare their sets at each pull.
type noticeSet struct {
	notices []quarantine.Notice
	// digest is a hash of the fingerprints, 0 if there are none.
	digest uint64
}

// currentNotices returns the set of this daemon.
func (f *Feed) currentNotices() noticeSet {
	set := noticeSet{notices: f.notices.Notices()}
	if len(set.notices) == 0 {
		return set
	}
	slices.SortFunc(set.notices, func(a, b quarantine.Notice) int { return b.Until.Compare(a.Until) })
	set.notices = set.notices[:min(len(set.notices), maxPulledNotices)]
	fingerprints := make([]string, len(set.notices))
	for i, n := range set.notices {
		fingerprints[i] = n.Fingerprint
	}
	slices.Sort(fingerprints)
	set.digest = xxhash.Sum64String(strings.Join(fingerprints, ","))
	return set
}

// missingFrom returns the notices of the set that are not among others.
func (s noticeSet) missingFrom(others []quarantine.Notice) []quarantine.Notice {
	known := make(map[string]bool, len(others))
	for _, n := range others {
		known[n.Fingerprint] = true
	}
	return slices.DeleteFunc(slices.Clone(s.notices), func(n quarantine.Notice) bool { return known[n.Fingerprint] })
}

// sendNotices sends notices to a daemon that lacks them. A daemon of an earlier version does not know the path.
func (f *Feed) sendNotices(ctx context.Context, address string, notices []quarantine.Notice) {
	if len(notices) == 0 {
		return
	}
	status, err := f.peers.post(ctx, address, PathNotices, notices)
	f.logPost(ctx, address, PathNotices, status, err)
}

// post sends a message to a daemon and returns the status of the response.
func (c *peerClient) post(ctx context.Context, address, path string, message any) (status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	body, err := json.Marshal(message)
	if err != nil {
		return 0, eris.Wrap(err, path)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, eris.Wrap(err, path)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, eris.Wrap(err, path)
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxPullResponseBytes))
	return resp.StatusCode, eris.Wrap(err, path)
}

// serveNotices adds the notices that another daemon sends.
func (f *Feed) serveNotices(w http.ResponseWriter, r *http.Request) {
	var notices []quarantine.Notice
	if err := httpjson.Read(r.Body, maxPullRequestBytes, &notices); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.addNotices(notices)
}

// addNotices adds the notices of another daemon.
func (f *Feed) addNotices(notices []quarantine.Notice) {
	for _, n := range notices[:min(len(notices), maxPulledNotices)] {
		f.notices.AddRemoteNotice(n)
	}
}

// Publish implements quarantine.Publisher. It queues the notice for the next round of datagrams.
func (f *Feed) Publish(notice quarantine.Notice) {
	event := eventlog.RequestCrashing
	if !notice.Until.After(time.Now()) {
		event = eventlog.RequestHalfOpen
	}
	f.log.Warn(event, zap.String("fingerprint", notice.Fingerprint), zap.Time("until", notice.Until))
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.pendingNotices) < maxPendingNotices {
		f.pendingNotices = append(f.pendingNotices, notice)
	}
}

// takePendingNotices returns and clears the pending notices.
func (f *Feed) takePendingNotices() []quarantine.Notice {
	f.mu.Lock()
	defer f.mu.Unlock()
	notices := f.pendingNotices
	f.pendingNotices = nil
	return notices
}

// PublishObservations implements quarantine.ObservationPublisher. It queues the observations for datagrams.
func (f *Feed) PublishObservations(observations []quarantine.Observation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	free := max(0, maxPendingObservations-len(f.pendingObservations))
	f.pendingObservations = append(f.pendingObservations, observations[:min(free, len(observations))]...)
}

// takePendingObservations returns and clears the pending observations, none if the last ones were taken a short time ago.
func (f *Feed) takePendingObservations(now time.Time) []quarantine.Observation {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.pendingObservations) == 0 || now.Sub(f.observationsTakenAt) < minObservationInterval {
		return nil
	}
	observations := f.pendingObservations
	f.pendingObservations, f.observationsTakenAt = nil, now
	return observations
}
