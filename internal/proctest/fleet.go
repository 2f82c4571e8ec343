package proctest

import (
	"bytes"
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

// Services of a fleet.
const (
	SearchService = "shop"
	OrderService  = "orders"
)

// startTimeout bounds the start of a fleet; a busy machine starts processes slowly.
const startTimeout = 20 * time.Second

// ProfileDocument is the profile that the services run under, with a deadline of 1 s.
const ProfileDocument = `name: test
deadline: 1s
partial: return
least_coverage: 0.1
hedge: {enabled: false}
retry: {max_attempts: 3, budget: 0.5}
`

// Options of a fleet.
type Options struct {
	Shards, Replicas, Orders, Entries int
	// Later is the number of entry daemons that the VM list names besides Entries and that StartLater starts.
	Later int
	// EntryList replaces the VM list's endpoint of the last entry daemon if it is not nil.
	EntryList func(endpoint string) string
	// EntryStore replaces the store endpoint of the first entry daemon if it is not empty.
	EntryStore func(endpoint string) string
	DrainFor   time.Duration
	// Deadline replaces the profile's deadline if it is not 0.
	Deadline time.Duration
	// NoBalancerLag makes the entry daemons stop accepting requests at once after a stop signal.
	NoBalancerLag bool
}

// Member is a started process with its HTTP address.
type Member struct {
	*Process
	Name, Address string
	// Operator is the operators' HTTP address of an entry daemon.
	Operator string
}

// Fleet is a store, backend servers and entry daemons on loopback.
type Fleet struct {
	Store    Member
	Backends []Member
	Entries  []Member

	bin, dir string
	http     *http.Client
	opt      Options
	// addresses holds three addresses for each entry daemon, the last of which is its peer address.
	addresses []string
	vms       []vmlist.VM
}

// StartFleet starts a fleet from the binaries in bin and waits until every entry daemon is ready and knows every
// replica. The caller stops it, also after an error.
func StartFleet(bin, dir string, opt Options) (*Fleet, error) {
	f := &Fleet{bin: bin, dir: dir, opt: opt, http: &http.Client{Timeout: 10 * time.Second}}
	backends := opt.Shards*opt.Replicas + opt.Orders
	addresses, err := FreeAddresses(1 + backends + 3*(opt.Entries+opt.Later))
	if err != nil {
		return f, err
	}
	f.addresses = addresses[1+backends:]
	if err := f.startStore(addresses[0], addresses[1:1+backends], opt); err != nil {
		return f, err
	}
	for i := range opt.Entries {
		if err := f.startEntry(i); err != nil {
			return f, err
		}
	}
	return f, f.waitReady(opt)
}

// Stop kills every process of the fleet.
func (f *Fleet) Stop() {
	for _, members := range [][]Member{f.Entries, f.Backends, {f.Store}} {
		for _, m := range members {
			if m.Process != nil {
				m.Process.Stop()
			}
		}
	}
}

func (f *Fleet) start(binary, name, address string, set any) (Member, error) {
	p, err := Start(filepath.Join(f.bin, binary), f.dir, name, set)
	return Member{Process: p, Name: name, Address: address}, err
}

// startStore starts the backend servers and the platform's stand-in, whose VM list names them and the entry daemons.
func (f *Fleet) startStore(address string, backends []string, opt Options) error {
	vms := []vmlist.VM{}
	for i := range opt.Entries + opt.Later {
		vms = append(vms, vmlist.VM{
			ID: entryName(i), Role: vmlist.RoleEntry, DataCentre: "dc", Address: f.addresses[3*i+2], State: vmlist.StateLive,
		})
	}
	for i, a := range backends {
		set := standin.Default()
		set.Replica, set.Service, set.DataCentre, set.Listen = fmt.Sprintf("r%d", i), OrderService, "dc", a
		set.DrainFor = strictyaml.Duration(max(opt.DrainFor, time.Second))
		if i < opt.Shards*opt.Replicas {
			set.Service, set.Shards, set.Shard = SearchService, opt.Shards, i%opt.Shards
		}
		m, err := f.start("standin-backend", set.Replica, a, set)
		if err != nil {
			return err
		}
		f.Backends = append(f.Backends, m)
		vms = append(vms, vmlist.VM{
			ID: set.Replica, Role: vmlist.RoleBackend, Service: set.Service, DataCentre: "dc", Address: a, State: vmlist.StateLive,
		})
	}
	f.vms = vms
	data, err := json.Marshal(vms)
	if err != nil {
		return err
	}
	file := filepath.Join(f.dir, "vms.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	f.Store, err = f.start("standin-store", "store", address, map[string]string{"listen": address, "vms": file})
	if err != nil {
		return err
	}
	return f.configure()
}

// configure writes the profile and binds the services to it.
func (f *Fleet) configure() error {
	client, err := etcdjson.New([]string{"http://" + f.Store.Address})
	if err != nil {
		return err
	}
	defer client.Close()
	conf := confstore.NewClient(client, "proctest")
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	err = Until(startTimeout, func() bool {
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
	opt, addresses := f.opt, f.addresses[3*i:]
	set := settings.DefaultEntry()
	set.Node, set.DataCentre, set.Region = entryName(i), "dc", "region"
	set.Listen, set.Operator, set.Peer = addresses[0], addresses[1], addresses[2]
	endpoint := "http://" + f.Store.Address
	set.Store.VMList = endpoint
	set.Store.Endpoints = []string{endpoint}
	if i == opt.Entries-1 && opt.EntryList != nil {
		set.Store.VMList = opt.EntryList(endpoint)
	}
	if i == 0 && opt.EntryStore != nil {
		set.Store.Endpoints = []string{opt.EntryStore(endpoint)}
	}
	set.Poll = strictyaml.Duration(100 * time.Millisecond)
	set.ConnectionsPerReplica = 40
	set.JoinDelay = strictyaml.Duration(500 * time.Millisecond)
	if opt.NoBalancerLag {
		set.BalancerLag = 0
	}
	m, err := f.start("chivemill-entry", set.Node, set.Listen, set)
	m.Operator = set.Operator
	f.Entries = append(f.Entries, m)
	return err
}

// waitReady waits until every entry daemon answers a complete query and an order.
func (f *Fleet) waitReady(opt Options) error {
	for _, e := range f.Entries {
		err := Until(startTimeout, func() bool {
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

// Reply is what a caller got: an answer with status 200, or an error body.
type Reply struct {
	Status int
	Answer api.Answer
	Error  api.ErrorBody
}

// Query sends a search to an entry daemon. An error means that no whole reply arrived.
func (f *Fleet) Query(e Member, nonce, query string) (Reply, error) {
	return f.post(e, api.Query{Service: SearchService, Query: query, Nonce: nonce}, nil)
}

// Order sends a non-idempotent request to an entry daemon.
func (f *Fleet) Order(e Member, query, key string) (Reply, error) {
	h := http.Header{api.HeaderKey: {key}, api.HeaderNonIdempotent: {"true"}}
	return f.post(e, api.Query{Service: OrderService, Query: query, Nonce: key}, h)
}

func (f *Fleet) post(e Member, q api.Query, h http.Header) (Reply, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return Reply{}, err
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+e.Address+api.QueryPath, bytes.NewReader(body))
	if err != nil {
		return Reply{}, err
	}
	for name, values := range h {
		req.Header[name] = values
	}
	// A caller that lets the transport replay an order would test the store instead of the daemon.
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
	if err == nil && reply.Answer.Nonce != q.Nonce {
		err = eris.Errorf("answer with nonce %q to the request with nonce %q", reply.Answer.Nonce, q.Nonce)
	}
	return reply, err
}

// Ready reports whether the entry daemon's readiness check succeeds.
func (f *Fleet) Ready(e Member) bool {
	resp, err := f.http.Get("http://" + e.Address + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
