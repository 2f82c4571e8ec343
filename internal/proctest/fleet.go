package proctest

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/confstore"
	standin "github.com/chivemill/chivemill/internal/standin/backend"
	"github.com/chivemill/chivemill/internal/strictyaml"
	"github.com/chivemill/chivemill/kv/etcdjson"
	"github.com/chivemill/chivemill/settings"
	"github.com/chivemill/chivemill/vmlist"
)

// Names of the services of a fleet: one that is searched by shard, and one that executes non-idempotent requests.
const (
	SearchService = "shop"
	OrderService  = "orders"
)

// startTimeout limits each wait during the start of a fleet; processes start slowly on a busy machine.
const startTimeout = 20 * time.Second

// ProfileDocument is the profile to which both services are bound, with a deadline of 1 s.
const ProfileDocument = `name: test
deadline: 1s
partial: return
least_coverage: 0.1
hedge: {enabled: false}
retry: {max_attempts: 3, budget: 0.5}
`

// Options holds the size of a fleet and its deviations from the default setup.
type Options struct {
	// The search service has Replicas replicas of each of its Shards shards, the order service has Orders replicas.
	// Entries is the number of entry daemons that StartFleet starts.
	Shards, Replicas, Orders, Entries int
	// LateEntries is the number of additional entry daemons in the VM list, which StartLateEntry starts one by one.
	LateEntries int
	// LastEntryVMList, if not nil, maps the endpoint of the VM list to the one that the last entry daemon reads instead.
	LastEntryVMList func(endpoint string) string
	// FirstEntryStore, if not nil, maps the endpoint of the store to the one that the first entry daemon uses instead.
	FirstEntryStore func(endpoint string) string
	// DrainFor is how long a backend server keeps running after a stop signal, at least 1 s.
	DrainFor time.Duration
	// Deadline, if not 0, replaces the deadline of the profile.
	Deadline time.Duration
	// NoBalancerLag makes the entry daemons reject new requests immediately after a stop signal, instead of accepting
	// them until the load balancer must have noticed.
	NoBalancerLag bool
	// Items, if not 0, replaces the number of items in the index of the search service.
	Items int
	// ConfigureEntry, if not nil, changes the settings of the entry daemons before they start.
	ConfigureEntry func(*settings.Entry)
}

// ServerProcess is a started process with its HTTP address.
type ServerProcess struct {
	*Process
	Name, Address string
	// OperatorAddress and PeerAddress are the addresses of an entry daemon for operators and for other entry daemons.
	OperatorAddress, PeerAddress string
}

// Fleet is a set of processes on loopback addresses: the stand-in store, stand-in backend servers and entry daemons.
// Query, Order and Ready may be called at any time from several goroutines. Methods that start processes or change the VM
// list must not run concurrently with methods other than these.
type Fleet struct {
	Store    ServerProcess
	Backends []ServerProcess
	Entries  []ServerProcess

	bin, dir string
	http     *http.Client
	opt      Options
	// entryAddresses holds the callers', operators' and peer address of each entry daemon, in this order.
	entryAddresses []string
	vms            []vmlist.VM
}

// StartFleet starts a fleet from the binaries in bin and waits until every entry daemon gives complete answers. The
// caller must call Kill, even if an error is returned.
func StartFleet(bin, dir string, opt Options) (*Fleet, error) {
	f := &Fleet{bin: bin, dir: dir, opt: opt, http: &http.Client{Timeout: 10 * time.Second}}
	backends := opt.Shards*opt.Replicas + opt.Orders
	addresses, err := FreeAddresses(1 + backends + 3*(opt.Entries+opt.LateEntries))
	if err != nil {
		return f, err
	}
	f.entryAddresses = addresses[1+backends:]
	if err := f.startBackendsAndStore(addresses[0], addresses[1:1+backends], opt); err != nil {
		return f, err
	}
	for i := range opt.Entries {
		if err := f.startEntry(i); err != nil {
			return f, err
		}
	}
	return f, f.waitReady(opt)
}

// Kill kills every process of the fleet.
func (f *Fleet) Kill() {
	for _, processes := range [][]ServerProcess{f.Entries, f.Backends, {f.Store}} {
		for _, p := range processes {
			if p.Process != nil {
				p.Process.Kill()
			}
		}
	}
}

func (f *Fleet) startProcess(binary, name, address string, cfg any) (ServerProcess, error) {
	p, err := Start(filepath.Join(f.bin, binary), f.dir, name, cfg)
	return ServerProcess{Process: p, Name: name, Address: address}, err
}

// startBackendsAndStore starts the backend servers, then the stand-in store with a VM list of the backend servers and
// the entry daemons, and writes the configuration.
func (f *Fleet) startBackendsAndStore(storeAddress string, backendAddresses []string, opt Options) error {
	vms := []vmlist.VM{}
	for i := range opt.Entries + opt.LateEntries {
		vms = append(vms, vmlist.VM{
			ID: entryName(i), Role: vmlist.RoleEntry, DataCentre: "dc", Address: f.entryAddresses[3*i+2], State: vmlist.StateLive,
		})
	}
	for i, address := range backendAddresses {
		cfg := standin.Default()
		cfg.Replica, cfg.Service, cfg.DataCentre, cfg.Listen = fmt.Sprintf("r%d", i), OrderService, "dc", address
		cfg.DrainFor = strictyaml.Duration(max(opt.DrainFor, time.Second))
		if i < opt.Shards*opt.Replicas {
			cfg.Service, cfg.Shards, cfg.Shard = SearchService, opt.Shards, i%opt.Shards
			cfg.ItemCount = cmp.Or(opt.Items, cfg.ItemCount)
		}
		backend, err := f.startProcess("standin-backend", cfg.Replica, address, cfg)
		if err != nil {
			return err
		}
		f.Backends = append(f.Backends, backend)
		vms = append(vms, vmlist.VM{
			ID: cfg.Replica, Role: vmlist.RoleBackend, Service: cfg.Service, DataCentre: "dc", Address: address, State: vmlist.StateLive,
		})
	}
	f.vms = vms
	data, err := json.Marshal(vms)
	if err != nil {
		return err
	}
	listFile := filepath.Join(f.dir, "vms.json")
	if err := os.WriteFile(listFile, data, 0o600); err != nil {
		return err
	}
	f.Store, err = f.startProcess("standin-store", "store", storeAddress, map[string]string{"listen": storeAddress, "vms": listFile})
	if err != nil {
		return err
	}
	return f.configure()
}

// configure waits for the store, writes the profile and binds the services to it.
func (f *Fleet) configure() error {
	client, err := etcdjson.New([]string{"http://" + f.Store.Address})
	if err != nil {
		return err
	}
	defer client.Close()
	conf := confstore.NewClient(client, "proctest")
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	err = WaitUntil(startTimeout, func() bool {
		_, _, err := conf.Bindings(ctx)
		return err == nil
	})
	if err != nil {
		return eris.Wrap(err, f.Store.Log())
	}
	document := ProfileDocument
	if f.opt.Deadline > 0 {
		document = strings.Replace(document, "deadline: 1s", "deadline: "+f.opt.Deadline.String(), 1)
	}
	if _, err := conf.Apply(ctx, "test", document, 0); err != nil {
		return err
	}
	for _, service := range []string{SearchService, OrderService} {
		if _, err := conf.Bind(ctx, service, "test"); err != nil {
			return err
		}
	}
	return nil
}

func entryName(i int) string { return fmt.Sprintf("entry%d", i) }

func (f *Fleet) startEntry(i int) error {
	opt, addresses := f.opt, f.entryAddresses[3*i:]
	cfg := settings.DefaultEntry()
	cfg.Node, cfg.DataCentre, cfg.Region = entryName(i), "dc", "region"
	cfg.CallerAddress, cfg.OperatorAddress, cfg.PeerAddress = addresses[0], addresses[1], addresses[2]
	endpoint := "http://" + f.Store.Address
	cfg.Store.VMListURL = endpoint
	cfg.Store.Endpoints = []string{endpoint}
	if i == opt.Entries-1 && opt.LastEntryVMList != nil {
		cfg.Store.VMListURL = opt.LastEntryVMList(endpoint)
	}
	if i == 0 && opt.FirstEntryStore != nil {
		cfg.Store.Endpoints = []string{opt.FirstEntryStore(endpoint)}
	}
	cfg.PollInterval = strictyaml.Duration(100 * time.Millisecond)
	cfg.ConnectionsPerReplica = 40
	cfg.JoinDelay = strictyaml.Duration(500 * time.Millisecond)
	if opt.NoBalancerLag {
		cfg.BalancerLag = 0
	}
	if opt.ConfigureEntry != nil {
		opt.ConfigureEntry(&cfg)
	}
	entry, err := f.startProcess("chivemill-entry", cfg.Node, cfg.CallerAddress, cfg)
	entry.OperatorAddress, entry.PeerAddress = cfg.OperatorAddress, cfg.PeerAddress
	f.Entries = append(f.Entries, entry)
	return err
}

// waitReady waits until every entry daemon has answered a query with full coverage and an order.
func (f *Fleet) waitReady(opt Options) error {
	for _, e := range f.Entries {
		err := WaitUntil(startTimeout, func() bool {
			if opt.Shards > 0 {
				reply, err := f.Query(e, "warm-up", "")
				if err != nil || reply.Status != http.StatusOK || !reply.Answer.Coverage.Complete {
					return false
				}
			}
			if opt.Orders > 0 {
				reply, err := f.Order(e, "warm-up", NewKey())
				return err == nil && reply.Status == http.StatusOK
			}
			return true
		})
		if err != nil {
			return eris.Wrapf(err, "%s: %s", e.Name, e.Log())
		}
	}
	return nil
}

// Reply is the response to a caller: an answer if the status is 200, otherwise an error body.
type Reply struct {
	Status int
	Answer api.Answer
	Error  api.ErrorBody
}

// Query sends a search query to an entry daemon. It returns an error if no complete, valid reply to this query arrived.
func (f *Fleet) Query(e ServerProcess, nonce, query string) (Reply, error) {
	return f.post(e, api.Query{Service: SearchService, Query: query, Nonce: nonce}, nil)
}

// Order sends a non-idempotent request with an idempotency key to an entry daemon. Errors are as in Query.
func (f *Fleet) Order(e ServerProcess, query, key string) (Reply, error) {
	header := http.Header{api.HeaderIdempotencyKey: {key}, api.HeaderNonIdempotent: {"true"}}
	return f.post(e, api.Query{Service: OrderService, Query: query, Nonce: key}, header)
}

func (f *Fleet) post(e ServerProcess, query api.Query, header http.Header) (Reply, error) {
	body, err := json.Marshal(query)
	if err != nil {
		return Reply{}, err
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+e.Address+api.QueryPath, bytes.NewReader(body))
	if err != nil {
		return Reply{}, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	// Prevents the HTTP transport from resending an order by itself, which would test the store instead of the daemon.
	req.GetBody = nil
	resp, err := f.http.Do(req)
	if err != nil {
		return Reply{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return Reply{}, err
	}
	reply := Reply{Status: resp.StatusCode}
	if resp.StatusCode != http.StatusOK {
		return reply, json.Unmarshal(data, &reply.Error)
	}
	reply.Answer, err = api.DecodeAnswer(data)
	if err == nil && reply.Answer.Nonce != query.Nonce {
		err = eris.Errorf("answer has nonce %q, the request had nonce %q", reply.Answer.Nonce, query.Nonce)
	}
	return reply, err
}

// Ready reports whether the entry daemon's readiness check succeeds.
func (f *Fleet) Ready(e ServerProcess) bool {
	resp, err := f.http.Get("http://" + e.Address + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
