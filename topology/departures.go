package topology

import (
	"context"
	"fmt"
	"net/http"

	"go.uber.org/zap"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/eventlog"
	"github.com/chivemill/chivemill/internal/httpjson"
)

// PathDeparted is the path at which Handler takes the replicas that this daemon keeps as missing and another one knows to have left.
const PathDeparted = "/v1/departed"

// maxDeparted bounds the replicas in one message to PathDeparted, about 60 bytes each.
const maxDeparted = 500

// departure identifies a start of a replica that has left.
type departure struct {
	ID          string `json:"id"`
	StartedAtMs int64  `json:"started_at_ms"`
}

// sendDeparted tells a daemon which of the replicas that it keeps as missing have left. A daemon of an earlier version does not know
// the path.
func (f *Feed) sendDeparted(ctx context.Context, address string, servers []balancer.Server) {
	var all []departure
	for _, s := range servers[:min(len(servers), maxDeparted)] {
		all = append(all, departure{s.ID, s.StartedAtMs})
	}
	if len(all) == 0 {
		return
	}
	status, err := f.peers.post(ctx, address, PathDeparted, all)
	f.logPost(ctx, address, PathDeparted, status, err)
}

// logPost logs the failure of a message to another daemon, unless the daemon does not know its path.
func (f *Feed) logPost(ctx context.Context, address, path string, status int, err error) {
	if err == nil && status != http.StatusOK && status != http.StatusNotFound {
		err = fmt.Errorf("%s of %s: status %d", path, address, status)
	}
	if err != nil && ctx.Err() == nil {
		f.log.Info(eventlog.PeerSilent, zap.String("address", address), zap.Error(err))
	}
}

// serveDeparted removes the replicas that another daemon knows to have left.
func (f *Feed) serveDeparted(w http.ResponseWriter, r *http.Request) {
	var all []departure
	if err := httpjson.Read(r.Body, maxPullRequestBytes, &all); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	servers := make([]balancer.Server, 0, min(len(all), maxDeparted))
	for _, d := range all[:min(len(all), maxDeparted)] {
		servers = append(servers, balancer.Server{ID: d.ID, StartedAtMs: d.StartedAtMs})
	}
	if removed := f.dir.RemoveDeparted(servers); removed > 0 {
		f.log.Info(eventlog.ReplicaListChanged, zap.String("from", r.RemoteAddr), zap.Int("removed", removed), zap.Int("departed", removed))
	}
}
