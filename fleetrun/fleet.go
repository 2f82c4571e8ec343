package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/deployment"
	"github.com/chivemill/chivemill/internal/proctest"
	standin "github.com/chivemill/chivemill/internal/standin/backend"
	"github.com/chivemill/chivemill/internal/standin/fleet"
	"github.com/chivemill/chivemill/internal/standin/store"
	"github.com/chivemill/chivemill/internal/strictyaml"
)

const (
	host = "127.0.0.1"
	// controlHost is the source address of the run's own connections, which the stand-ins do not count.
	controlHost = "127.0.0.2"
	// maxProcesses bounds the processes of a run.
	maxProcesses = 200
	startTimeout = 20 * time.Second
	pollInterval = 50 * time.Millisecond

	// drainFor exceeds the 3 s after which a leaving replica may get no new work, so that late work is seen.
	drainFor   = 4 * time.Second
	coldFor    = 1500 * time.Millisecond
	coldFactor = 3
	// balancerLag exceeds probeChanges probes and their timeout.
	balancerLag = 800 * time.Millisecond
	joinDelay   = 800 * time.Millisecond
)

// stand is the running deployment.
type stand struct {
	options   options
	processes *processes
	settings  string
	services  []deployment.Service
	plan      fleet.Plan
	backends  map[string]standin.Settings
	control   *http.Client
}

// newStand writes the settings of all processes below dir.
func newStand(o options, dir string) (*stand, error) {
	d, err := deployment.Load(o.deployment)
	if err != nil {
		return nil, err
	}
	plan, err := fleet.Generate(d, fleet.Options{Scale: o.scale, Host: netip.MustParseAddr(host), BasePort: o.basePort})
	if err != nil {
		return nil, err
	}
	if n := 1 + len(plan.Entries) + len(plan.Backends); n > maxProcesses {
		return nil, eris.Errorf("%d processes are more than %d; use a smaller scale", n, maxProcesses)
	}
	s := &stand{
		options: o, settings: filepath.Join(dir, "settings"), services: d.Services, plan: plan,
		backends: make(map[string]standin.Settings), control: controlClient(),
	}
	logs := filepath.Join(dir, "logs")
	if err := os.MkdirAll(logs, 0o755); err != nil {
		return nil, err
	}
	s.processes = newProcesses(o.bin, logs)
	s.adjust(logs)
	return s, s.plan.Write(s.settings)
}

func controlClient() *http.Client {
	dialer := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(controlHost)}}
	return &http.Client{
		Timeout:   5 * time.Second,
		Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true},
	}
}

// adjust sets what the run needs beyond the deployment's sizes.
func (s *stand) adjust(logs string) {
	for i := range s.plan.Backends {
		b := &s.plan.Backends[i]
		b.DrainFor, b.ColdFor = strictyaml.Duration(drainFor), strictyaml.Duration(coldFor)
		b.ColdFactor = coldFactor
		b.ControlHost = controlHost
		b.Report = filepath.Join(logs, b.Replica+".report")
		b.ExecutionLog = filepath.Join(logs, b.Replica+".executions")
		s.backends[b.Replica] = *b
	}
	for i := range s.plan.Entries {
		e := &s.plan.Entries[i]
		e.BalancerLag, e.JoinDelay = strictyaml.Duration(balancerLag), strictyaml.Duration(joinDelay)
	}
}

func (s *stand) names() []string {
	var names []string
	for _, b := range s.plan.Backends {
		names = append(names, b.Replica)
	}
	return names
}

// service returns the named service, or the first of the kind if the name is empty.
func (s *stand) service(name string, kind deployment.Kind) (deployment.Service, error) {
	for _, service := range s.services {
		if service.Kind == kind && (name == "" || service.Name == name) {
			return service, nil
		}
	}
	return deployment.Service{}, eris.Errorf("the deployment has no %s service %q", kind, name)
}

func (s *stand) callers() []string {
	var urls []string
	for _, e := range s.plan.Entries {
		urls = append(urls, "http://"+e.Listen)
	}
	return urls
}

func (s *stand) operators() []string {
	var urls []string
	for _, e := range s.plan.Entries {
		urls = append(urls, "http://"+e.Operator)
	}
	return urls
}

// start starts every process, and applies the profiles and bindings.
func (s *stand) start(ctx context.Context) error {
	if err := s.processes.start("standin-store", "store", filepath.Join(s.settings, fleet.StoreFile)); err != nil {
		return err
	}
	if err := s.startBackends(ctx, s.names()); err != nil {
		return err
	}
	if err := s.configure(ctx); err != nil {
		return err
	}
	for _, e := range s.plan.Entries {
		if err := s.startEntry(e.Node); err != nil {
			return err
		}
	}
	return nil
}

func (s *stand) startEntry(node string) error {
	return s.processes.start("chivemill-entry", node, filepath.Join(s.settings, fleet.EntryDir, node+".yaml"))
}

// startBackends starts replicas and waits until each of them answers.
func (s *stand) startBackends(ctx context.Context, names []string) error {
	for _, name := range names {
		file := filepath.Join(s.settings, fleet.BackendDir, name+".yaml")
		if err := s.processes.start("standin-backend", name, file); err != nil {
			return err
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, name := range names {
		url := "http://" + s.backends[name].Listen + backend.PathHealth
		group.Go(func() error {
			return until(ctx, startTimeout, name+" answers", func() bool { return s.get(url, nil) == nil })
		})
	}
	return group.Wait()
}

// configure applies the profiles of the deployment and binds every service.
func (s *stand) configure(ctx context.Context) error {
	err := until(ctx, startTimeout, "the store answers", func() bool { return s.ctl(ctx, "profile", "list") == nil })
	if err != nil {
		return err
	}
	files, err := filepath.Glob(filepath.Join(filepath.Dir(s.options.deployment), "profiles", "*.yaml"))
	if err != nil {
		return err
	}
	for _, file := range files {
		if replaced := filepath.Join(s.options.profiles, filepath.Base(file)); s.options.profiles != "" && exists(replaced) {
			file = replaced
		}
		if err := s.ctl(ctx, "profile", "apply", file); err != nil {
			return err
		}
	}
	for _, service := range s.services {
		if err := s.ctl(ctx, "service", "bind", service.Name, service.Profile); err != nil {
			return err
		}
	}
	return nil
}

func exists(file string) bool {
	_, err := os.Stat(file)
	return err == nil
}

// ctl runs the operators' command.
func (s *stand) ctl(ctx context.Context, args ...string) error {
	args = append([]string{"--store", "http://" + s.plan.Store.Listen, "--author", "fleetrun"}, args...)
	out, err := exec.CommandContext(ctx, filepath.Join(s.options.bin, "chivemillctl"), args...).CombinedOutput()
	return eris.Wrapf(err, "chivemillctl %v: %s", args, out)
}

func (s *stand) get(url string, out any) error {
	resp, err := s.control.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("%s answered %d", url, resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

func (s *stand) put(url string, in any) error { return proctest.PutJSON(s.control, url, in) }

func (s *stand) storeDown(down bool) error {
	return s.put("http://"+s.plan.Store.Listen+store.PathFaults, store.FaultsBody{Down: down})
}

// until polls the condition until it holds; what names it in the error.
func until(ctx context.Context, timeout time.Duration, what string, holds func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for !holds() {
		select {
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "waiting until %s", what)
		case <-time.After(pollInterval):
		}
	}
	return nil
}
