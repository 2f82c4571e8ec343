// Package vmlist fetches the platform's list of live and leaving VMs. The list may be out of date.
package vmlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Path is the HTTP path at which the platform serves the list.
const Path = "/platform/vms"

const (
	// fetchTimeout limits the duration of a fetch, maxResponseBytes the size of its response.
	fetchTimeout     = 2 * time.Second
	maxResponseBytes = 16 << 20
)

// Role is the kind of program that runs on a VM.
type Role string

// Values of Role.
const (
	RoleEntry   Role = "entry"
	RoleBackend Role = "backend"
)

// State is the state of a VM as reported by the platform.
type State string

// Values of State.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// VM is one entry of the list.
type VM struct {
	ID         string `json:"id"`
	Role       Role   `json:"role"`
	Service    string `json:"service,omitempty"`
	DataCentre string `json:"data_centre"`
	// Address is the HTTP address of a backend server or the peer address of an entry daemon, as host:port.
	Address string `json:"address"`
	State   State  `json:"state"`
}

// Source provides the list. Implementations are safe for concurrent use.
type Source interface {
	// Fetch returns the current list, or an error if the list cannot be obtained completely.
	Fetch(ctx context.Context) ([]VM, error)
}

// HTTPSource fetches the list over HTTP from the base URL. It is safe for concurrent use.
type HTTPSource struct {
	URL    string
	Client *http.Client
}

// Fetch implements Source.
func (s *HTTPSource) Fetch(ctx context.Context) ([]VM, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL+Path, nil)
	if err != nil {
		return nil, eris.Wrap(err, "create request for VM list")
	}
	resp, err := s.Client.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "fetch VM list")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("fetch VM list: HTTP status %d", resp.StatusCode)
	}
	var vms []VM
	err = json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&vms)
	return vms, eris.Wrap(err, "decode VM list")
}
