package entry

import (
	"net/http"

	"github.com/chivemill/chivemill/internal/httpjson"
	"github.com/chivemill/chivemill/snapshot"
)

// Status is the JSON body of the operators' status endpoint.
type Status struct {
	Node       string `json:"node"`
	DataCentre string `json:"data_centre"`
	Ready      bool   `json:"ready"`
	// ConfigurationRevision is the highest configuration revision in force.
	ConfigurationRevision int64 `json:"revision"`
	// ConfigurationState is fresh, stale or unknown, depending on whether the daemon knows that its configuration is
	// current.
	ConfigurationState string `json:"configuration"`
	// ConfigurationAgeMS is the time since the configuration was last confirmed, in milliseconds. It is 0 if
	// ConfigurationState is unknown.
	ConfigurationAgeMS int64 `json:"configuration_age_ms"`
	// WatchesStore is true while the daemon watches the store itself instead of learning changes from its peers.
	WatchesStore bool `json:"watching"`
	// Profiles holds the revision in force of each profile, Bindings the profile of each service, and Snapshots the
	// selected snapshot of each service.
	Profiles  map[string]int64            `json:"profiles"`
	Bindings  map[string]string           `json:"bindings"`
	Snapshots map[string]snapshot.Version `json:"snapshots"`
	// Members is the state of each known entry daemon.
	Members map[string]string `json:"members"`
	// Quarantined is the number of requests refused because they crash backend servers.
	Quarantined int `json:"quarantined"`
}

func (d *Daemon) handleStatus(w http.ResponseWriter, _ *http.Request) {
	httpjson.Write(w, http.StatusOK, d.Status())
}

// Status returns the current state of the daemon.
func (d *Daemon) Status() Status {
	config := d.peers.runner.Status()
	status := Status{
		Node: d.cfg.Node, DataCentre: d.cfg.DataCentre, Ready: d.Ready(),
		ConfigurationRevision: config.Revision, ConfigurationState: string(config.State),
		ConfigurationAgeMS: config.ConfirmationAge.Milliseconds(), WatchesStore: config.Watching,
		Profiles: map[string]int64{}, Bindings: map[string]string{}, Snapshots: map[string]snapshot.Version{},
		Members: map[string]string{}, Quarantined: len(d.guard.Notices()),
	}
	for _, m := range d.peers.transport.Members() {
		status.Members[m.ID] = m.State.String()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, p := range d.profiles {
		status.Profiles[name] = p.revision
	}
	for service, name := range d.bindings {
		status.Bindings[service] = name
	}
	for service, c := range d.catalogues {
		if v, _, ok := c.Current(); ok {
			status.Snapshots[service] = v
		}
	}
	return status
}
