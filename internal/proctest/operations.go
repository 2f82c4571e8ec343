package proctest

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/confstore"
	"github.com/chivemill/chivemill/entry"
	standin "github.com/chivemill/chivemill/internal/standin/backend"
	"github.com/chivemill/chivemill/internal/standin/store"
	"github.com/chivemill/chivemill/kv/etcdjson"
	"github.com/chivemill/chivemill/vmlist"
)

// StartLateEntry starts the next of the Options.LateEntries additional entry daemons. It does not wait until the daemon
// is ready.
func (f *Fleet) StartLateEntry() (ServerProcess, error) {
	err := f.startEntry(len(f.Entries))
	return f.Entries[len(f.Entries)-1], err
}

// RestartBackend kills a backend server and starts it again at the same address, as a new incarnation.
func (f *Fleet) RestartBackend(i int) error {
	previous := f.Backends[i]
	previous.Kill()
	p, err := StartFile(filepath.Join(f.bin, "standin-backend"), filepath.Join(f.dir, previous.Name+".yaml"), previous.Name)
	if err == nil {
		f.Backends[i].Process = p
	}
	return err
}

// OperatorClient returns a client for the stored configuration, whose changes carry the name as author, and a function
// that closes the client.
func (f *Fleet) OperatorClient(name string) (*confstore.Client, func(), error) {
	client, err := etcdjson.New([]string{"http://" + f.Store.Address})
	if err != nil {
		return nil, nil, err
	}
	return confstore.NewClient(client, name), client.Close, nil
}

// Status reads the status of an entry daemon.
func (f *Fleet) Status(e ServerProcess) (s entry.Status, err error) {
	return s, f.get(ServerProcess{Address: e.OperatorAddress}, "/v1/status", &s)
}

// SetVMState sets the state of a backend server in the VM list of the stand-in store.
func (f *Fleet) SetVMState(b ServerProcess, state vmlist.State) error {
	for i := range f.vms {
		if f.vms[i].ID == b.Name {
			f.vms[i].State = state
		}
	}
	return f.put("http://"+f.Store.Address+vmlist.Path, f.vms)
}

// StaleVMList serves a copy of the VM list that is read once at the start, which simulates a list that is out of date.
type StaleVMList struct{ server *httptest.Server }

// Start copies the VM list of the endpoint, starts a server for the copy and returns its endpoint. If the list cannot
// be read, it returns the given endpoint.
func (l *StaleVMList) Start(endpoint string) string {
	resp, err := http.Get(endpoint + vmlist.Path)
	if err != nil {
		return endpoint
	}
	defer resp.Body.Close()
	var body bytes.Buffer
	if _, err := body.ReadFrom(resp.Body); err != nil {
		return endpoint
	}
	l.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(body.Bytes())
	}))
	return l.server.URL
}

// Close stops the server.
func (l *StaleVMList) Close() { l.server.Close() }

// CountExited returns the number of backend servers whose process has ended.
func (f *Fleet) CountExited() int {
	return len(slices.DeleteFunc(slices.Clone(f.Backends), func(b ServerProcess) bool { return !b.Exited() }))
}

// Pause stops the process with SIGSTOP and waits until all its threads are stopped.
func (p *Process) Pause(timeout time.Duration) error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	return WaitUntil(timeout, p.Paused)
}

// Continue resumes a paused process with SIGCONT.
func (p *Process) Continue() error { return p.Signal(syscall.SIGCONT) }

// Executions returns how often the backend servers that are still running executed each idempotency key.
func (f *Fleet) Executions() (map[string]int, error) {
	counts := make(map[string]int)
	for _, b := range f.Backends {
		if b.Exited() {
			continue
		}
		var executed []standin.Execution
		if err := f.get(b, standin.PathExecuted, &executed); err != nil {
			return nil, err
		}
		for _, e := range executed {
			counts[e.Key]++
		}
	}
	return counts, nil
}

// Counters reads the counters of a stand-in backend server.
func (f *Fleet) Counters(b ServerProcess) (c standin.Counters, err error) {
	return c, f.get(b, standin.PathCounters, &c)
}

// Control sends a control request to a stand-in backend server.
func (f *Fleet) Control(b ServerProcess, c standin.Control) error {
	return f.put("http://"+b.Address+standin.PathControl, c)
}

// BusySlots returns the number of sub-requests that a stand-in backend server is executing.
func (f *Fleet) BusySlots(b ServerProcess) (int, error) {
	var load backend.LoadReport
	err := f.get(b, backend.PathLoad, &load)
	return load.Busy, err
}

func (f *Fleet) get(p ServerProcess, path string, out any) error {
	resp, err := f.http.Get("http://" + p.Address + path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(out)
}

// SetStoreFaults injects faults into the stand-in store.
func (f *Fleet) SetStoreFaults(faults store.FaultsBody) error {
	return f.put("http://"+f.Store.Address+store.PathFaults, faults)
}

func (f *Fleet) put(url string, in any) error { return PutJSON(f.http, url, in) }

// PutJSON sends a value as JSON to a control endpoint of a stand-in. Any status but 204 is an error.
func PutJSON(client *http.Client, url string, in any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return eris.Errorf("PUT %s returned status %d", url, resp.StatusCode)
	}
	return nil
}
