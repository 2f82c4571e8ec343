// Package deployment describes one deployment: data centres, delays, entry daemons and services. Stand-ins and
// benchmarks are generated from the description. The values have no state and are safe to share once loaded.
package deployment

import (
	"math"
	"os"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/internal/strictyaml"
	"github.com/chivemill/chivemill/profile"
	"github.com/chivemill/chivemill/settings"
)

// Kind is what a service's replicas do.
type Kind string

// Values of Kind.
const (
	// KindSearch holds an index in shards; each instance is one shard.
	KindSearch Kind = "search"
	// KindOrder runs non-idempotent requests; it has one instance.
	KindOrder Kind = "order"
)

// Limits of a description.
const (
	maxInstances   = 10_000
	maxReplicas    = 10_000
	maxSlots       = 1_000
	maxConnections = 10_000
	maxDaemons     = 2_000
	maxDelay       = time.Second
)

// DataCentre is one zone with the region that it belongs to.
type DataCentre struct {
	Name   string `yaml:"name"`
	Region string `yaml:"region"`
}

// Delays are one-way network delays.
type Delays struct {
	// DataCentres is the delay between two data centres of one region.
	DataCentres strictyaml.Duration `yaml:"data_centres"`
	// Regions is the delay between two regions.
	Regions strictyaml.Duration `yaml:"regions"`
	// Clients is the delay between the callers and the entry daemons.
	Clients strictyaml.Duration `yaml:"clients"`
}

// Entry describes the entry daemons.
type Entry struct {
	// Daemons is the number of entry VMs, spread over the data centres in turn.
	Daemons int `yaml:"daemons"`
}

// Service describes one service.
type Service struct {
	Name string `yaml:"name"`
	Kind Kind   `yaml:"kind"`
	// Profile is the profile that the service is bound to.
	Profile string `yaml:"profile"`
	// Instances is the number of shards of a search service, and 1 for an order service.
	Instances int `yaml:"instances"`
	// Replicas of each instance.
	Replicas int `yaml:"replicas"`
	// Slots is the number of requests that a replica runs at the same time.
	Slots int `yaml:"slots"`
	// Connections is the number of connections that a replica accepts.
	Connections int `yaml:"connections"`
	// ConnectionCost is the time that a new connection costs a replica.
	ConnectionCost strictyaml.Duration `yaml:"connection_cost"`
	// DataCentres that hold replicas. Replica r of instance i is in number (i+r) modulo their count.
	DataCentres []string `yaml:"data_centres"`
}

// Deployment describes one deployment.
type Deployment struct {
	Name        string         `yaml:"name"`
	Store       settings.Store `yaml:"store"`
	DataCentres []DataCentre   `yaml:"data_centres"`
	OneWayDelay Delays         `yaml:"one_way_delay"`
	Entry       Entry          `yaml:"entry"`
	Services    []Service      `yaml:"services"`
}

// Load reads and checks a description. Every problem is reported with file, line and field.
func Load(file string) (Deployment, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Deployment{}, eris.Wrap(err, "deployment")
	}
	return Decode(file, data)
}

// Decode is Load on the bytes of a file.
func Decode(file string, data []byte) (Deployment, error) {
	var d Deployment
	doc := strictyaml.Decode(file, data, &d)
	if doc.Err() == nil {
		d.check(doc)
	}
	return d, doc.Err()
}

func (d *Deployment) check(doc *strictyaml.Document) {
	checkName(doc, "name", d.Name)
	for i, e := range d.Store.Endpoints {
		settings.URL(doc, index("store.endpoints", i), e)
	}
	if d.Store.VMList != "" {
		settings.URL(doc, "store.vm_list", d.Store.VMList)
	}
	known := d.checkDataCentres(doc)
	settings.Range(doc, "one_way_delay.data_centres", d.OneWayDelay.DataCentres.D(), 0, maxDelay)
	settings.Range(doc, "one_way_delay.regions", d.OneWayDelay.Regions.D(), 0, maxDelay)
	settings.Range(doc, "one_way_delay.clients", d.OneWayDelay.Clients.D(), 0, maxDelay)
	if d.OneWayDelay.DataCentres > d.OneWayDelay.Regions {
		doc.Problemf("one_way_delay.regions", "%s is shorter than the delay between data centres of %s",
			d.OneWayDelay.Regions.D(), d.OneWayDelay.DataCentres.D())
	}
	settings.Range(doc, "entry.daemons", d.Entry.Daemons, 1, maxDaemons)
	if len(d.Services) == 0 {
		doc.Problemf("services", "at least one service is required")
	}
	seen := make(map[string]bool)
	for i, s := range d.Services {
		if seen[s.Name] {
			doc.Problemf(index("services", i)+".name", "%q is given twice", s.Name)
		}
		seen[s.Name] = true
		s.check(doc, index("services", i), known)
	}
}

func (d *Deployment) checkDataCentres(doc *strictyaml.Document) map[string]bool {
	if len(d.DataCentres) == 0 {
		doc.Problemf("data_centres", "at least one data centre is required")
	}
	known := make(map[string]bool)
	for i, dc := range d.DataCentres {
		field := index("data_centres", i)
		checkName(doc, field+".name", dc.Name)
		checkName(doc, field+".region", dc.Region)
		if known[dc.Name] {
			doc.Problemf(field+".name", "%q is given twice", dc.Name)
		}
		known[dc.Name] = true
	}
	return known
}

func (s Service) check(doc *strictyaml.Document, field string, dataCentres map[string]bool) {
	checkName(doc, field+".name", s.Name)
	checkName(doc, field+".profile", s.Profile)
	switch {
	case s.Kind != KindSearch && s.Kind != KindOrder:
		doc.Problemf(field+".kind", "%q is not one of search, order", s.Kind)
	case s.Kind == KindOrder && s.Instances != 1:
		doc.Problemf(field+".instances", "%d contradicts kind: order, which has 1", s.Instances)
	}
	settings.Range(doc, field+".instances", s.Instances, 1, maxInstances)
	settings.Range(doc, field+".replicas", s.Replicas, 1, maxReplicas)
	settings.Range(doc, field+".slots", s.Slots, 1, maxSlots)
	settings.Range(doc, field+".connections", s.Connections, 1, maxConnections)
	settings.Range(doc, field+".connection_cost", s.ConnectionCost.D(), 0, maxDelay)
	if s.Connections < s.Slots {
		doc.Problemf(field+".connections", "%d is less than the %d slots, which could not all be used", s.Connections, s.Slots)
	}
	if len(s.DataCentres) == 0 {
		doc.Problemf(field+".data_centres", "at least one data centre is required")
	}
	seen := make(map[string]bool)
	for i, name := range s.DataCentres {
		switch {
		case !dataCentres[name]:
			doc.Problemf(index(field+".data_centres", i), "%q is not in data_centres", name)
		case seen[name]:
			doc.Problemf(index(field+".data_centres", i), "%q is given twice", name)
		}
		seen[name] = true
	}
}

func checkName(doc *strictyaml.Document, field, value string) {
	if !profile.ValidName(value) {
		doc.Problemf(field, "%q is not a name of lower-case letters, digits and hyphens", value)
	}
}

func index(field string, i int) string { return field + "[" + strconv.Itoa(i) + "]" }

// Region returns the region of a data centre, "" if it is not known.
func (d Deployment) Region(dataCentre string) string {
	for _, dc := range d.DataCentres {
		if dc.Name == dataCentre {
			return dc.Region
		}
	}
	return ""
}

// Delay returns the one-way delay between two data centres; it is 0 within one.
func (d Deployment) Delay(from, to string) time.Duration {
	switch {
	case from == to:
		return 0
	case d.Region(from) == d.Region(to):
		return d.OneWayDelay.DataCentres.D()
	}
	return d.OneWayDelay.Regions.D()
}

// DataCentreOf returns the data centre of a replica. Instances and replicas count from 0.
func (s Service) DataCentreOf(instance, replica int) string {
	return s.DataCentres[(instance+replica)%len(s.DataCentres)]
}

// EntryDataCentre returns the data centre of an entry daemon. Daemons count from 0.
func (d Deployment) EntryDataCentre(daemon int) string {
	return d.DataCentres[daemon%len(d.DataCentres)].Name
}

// Replicas returns the number of replicas of all services.
func (d Deployment) Replicas() int {
	total := 0
	for _, s := range d.Services {
		total += s.Instances * s.Replicas
	}
	return total
}

// Scaled returns the deployment at a factor above 0 and up to 1, rounded up. Search services keep the replicas of
// each instance and lose instances, so that every shard is as redundant as at full size; order services lose
// replicas. Sizes of single replicas, delays and the number of entry daemons stay.
func (d Deployment) Scaled(factor float64) (Deployment, error) {
	if !(factor > 0 && factor <= 1) {
		return Deployment{}, eris.Errorf("scale %g is outside (0, 1]", factor)
	}
	services := make([]Service, len(d.Services))
	for i, s := range d.Services {
		if s.Kind == KindSearch {
			s.Instances = scale(s.Instances, factor)
		} else {
			s.Replicas = scale(s.Replicas, factor)
		}
		services[i] = s
	}
	d.Services = services
	return d, nil
}

// scale rounds up after removing the rounding error of the product, so that a tenth of 10 is 1.
func scale(n int, factor float64) int {
	return max(1, int(math.Ceil(float64(n)*factor-1e-9)))
}
