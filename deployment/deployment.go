// Package deployment reads the description of a deployment: its data centres, network delays, entry daemons and
// services. Fleets of stand-in servers and benchmarks are generated from it. A loaded description is never modified, so
// it is safe for concurrent use.
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

// Kind is the kind of requests that a service executes.
type Kind string

// Values of Kind.
const (
	// KindSearch is a service that searches a sharded index; each instance is one shard.
	KindSearch Kind = "search"
	// KindOrder is a service that executes non-idempotent requests; it has one instance.
	KindOrder Kind = "order"
)

// Limits of the values in a description.
const (
	maxInstances   = 10_000
	maxReplicas    = 10_000
	maxSlots       = 1_000
	maxConnections = 10_000
	maxDaemons     = 2_000
	maxDelay       = time.Second
)

// DataCentre is a data centre and the region that it belongs to.
type DataCentre struct {
	Name   string `yaml:"name"`
	Region string `yaml:"region"`
}

// NetworkDelays are the one-way network delays of a deployment.
type NetworkDelays struct {
	// DataCentres is the delay between two data centres in the same region.
	DataCentres strictyaml.Duration `yaml:"data_centres"`
	// Regions is the delay between two data centres in different regions.
	Regions strictyaml.Duration `yaml:"regions"`
	// Clients is the delay between the callers and the entry daemons.
	Clients strictyaml.Duration `yaml:"clients"`
}

// EntryDaemons describes the entry daemons.
type EntryDaemons struct {
	// Daemons is the number of entry VMs, which are assigned to the data centres round-robin.
	Daemons int `yaml:"daemons"`
}

// Service describes one service.
type Service struct {
	Name string `yaml:"name"`
	Kind Kind   `yaml:"kind"`
	// Profile is the name of the profile that applies to the service.
	Profile string `yaml:"profile"`
	// Instances is the number of shards of a search service, and 1 for an order service.
	Instances int `yaml:"instances"`
	// Replicas is the number of replicas of each instance.
	Replicas int `yaml:"replicas"`
	// Slots is the number of requests that a replica can execute concurrently.
	Slots int `yaml:"slots"`
	// Connections is the maximum number of connections that a replica accepts.
	Connections int `yaml:"connections"`
	// ConnectionCost is the time that a replica spends on a new connection.
	ConnectionCost strictyaml.Duration `yaml:"connection_cost"`
	// DataCentres are the data centres that hold replicas. Replica r of instance i is in the one with index (i+r) modulo
	// their number.
	DataCentres []string `yaml:"data_centres"`
}

// Deployment is the description of a deployment.
type Deployment struct {
	Name        string         `yaml:"name"`
	Store       settings.Store `yaml:"store"`
	DataCentres []DataCentre   `yaml:"data_centres"`
	OneWayDelay NetworkDelays  `yaml:"one_way_delay"`
	Entry       EntryDaemons   `yaml:"entry"`
	Services    []Service      `yaml:"services"`
}

// Load reads and validates the description in a file. The error lists every problem with file, line and field.
func Load(file string) (Deployment, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Deployment{}, eris.Wrap(err, "read deployment description")
	}
	return Decode(file, data)
}

// Decode is like Load for data that has already been read; file is used in error messages only.
func Decode(file string, data []byte) (Deployment, error) {
	var d Deployment
	doc := strictyaml.Decode(file, data, &d)
	if doc.Err() == nil {
		d.validate(doc)
	}
	return d, doc.Err()
}

func (d *Deployment) validate(doc *strictyaml.Document) {
	validateName(doc, "name", d.Name)
	for i, e := range d.Store.Endpoints {
		settings.CheckURL(doc, indexedField("store.endpoints", i), e)
	}
	if d.Store.VMListURL != "" {
		settings.CheckURL(doc, "store.vm_list", d.Store.VMListURL)
	}
	knownDataCentres := d.validateDataCentres(doc)
	settings.CheckRange(doc, "one_way_delay.data_centres", d.OneWayDelay.DataCentres.AsDuration(), 0, maxDelay)
	settings.CheckRange(doc, "one_way_delay.regions", d.OneWayDelay.Regions.AsDuration(), 0, maxDelay)
	settings.CheckRange(doc, "one_way_delay.clients", d.OneWayDelay.Clients.AsDuration(), 0, maxDelay)
	if d.OneWayDelay.DataCentres > d.OneWayDelay.Regions {
		doc.AddProblemf("one_way_delay.regions", "%s is less than the delay of %s between data centres",
			d.OneWayDelay.Regions.AsDuration(), d.OneWayDelay.DataCentres.AsDuration())
	}
	settings.CheckRange(doc, "entry.daemons", d.Entry.Daemons, 1, maxDaemons)
	if len(d.Services) == 0 {
		doc.AddProblemf("services", "at least one service is required")
	}
	seen := make(map[string]bool)
	for i, s := range d.Services {
		if seen[s.Name] {
			doc.AddProblemf(indexedField("services", i)+".name", "%q is given twice", s.Name)
		}
		seen[s.Name] = true
		s.validate(doc, indexedField("services", i), knownDataCentres)
	}
}

func (d *Deployment) validateDataCentres(doc *strictyaml.Document) map[string]bool {
	if len(d.DataCentres) == 0 {
		doc.AddProblemf("data_centres", "at least one data centre is required")
	}
	knownDataCentres := make(map[string]bool)
	for i, dc := range d.DataCentres {
		field := indexedField("data_centres", i)
		validateName(doc, field+".name", dc.Name)
		validateName(doc, field+".region", dc.Region)
		if knownDataCentres[dc.Name] {
			doc.AddProblemf(field+".name", "%q is given twice", dc.Name)
		}
		knownDataCentres[dc.Name] = true
	}
	return knownDataCentres
}

func (s Service) validate(doc *strictyaml.Document, field string, knownDataCentres map[string]bool) {
	validateName(doc, field+".name", s.Name)
	validateName(doc, field+".profile", s.Profile)
	switch {
	case s.Kind != KindSearch && s.Kind != KindOrder:
		doc.AddProblemf(field+".kind", "%q is not one of search, order", s.Kind)
	case s.Kind == KindOrder && s.Instances != 1:
		doc.AddProblemf(field+".instances", "%d is not allowed, a service of kind order has exactly 1", s.Instances)
	}
	settings.CheckRange(doc, field+".instances", s.Instances, 1, maxInstances)
	settings.CheckRange(doc, field+".replicas", s.Replicas, 1, maxReplicas)
	settings.CheckRange(doc, field+".slots", s.Slots, 1, maxSlots)
	settings.CheckRange(doc, field+".connections", s.Connections, 1, maxConnections)
	settings.CheckRange(doc, field+".connection_cost", s.ConnectionCost.AsDuration(), 0, maxDelay)
	if s.Connections < s.Slots {
		doc.AddProblemf(field+".connections", "%d is less than the %d slots, so some slots could never be used", s.Connections, s.Slots)
	}
	if len(s.DataCentres) == 0 {
		doc.AddProblemf(field+".data_centres", "at least one data centre is required")
	}
	seen := make(map[string]bool)
	for i, name := range s.DataCentres {
		switch {
		case !knownDataCentres[name]:
			doc.AddProblemf(indexedField(field+".data_centres", i), "%q is not listed in data_centres", name)
		case seen[name]:
			doc.AddProblemf(indexedField(field+".data_centres", i), "%q is given twice", name)
		}
		seen[name] = true
	}
}

func validateName(doc *strictyaml.Document, field, value string) {
	if !profile.ValidName(value) {
		doc.AddProblemf(field, "%q is not a valid name, use lower-case letters, digits and hyphens", value)
	}
}

func indexedField(field string, i int) string { return field + "[" + strconv.Itoa(i) + "]" }

// Region returns the region of a data centre, or "" if the data centre is not part of the deployment.
func (d Deployment) Region(dataCentre string) string {
	for _, dc := range d.DataCentres {
		if dc.Name == dataCentre {
			return dc.Region
		}
	}
	return ""
}

// Delay returns the one-way delay between two data centres. It is 0 within a data centre.
func (d Deployment) Delay(from, to string) time.Duration {
	switch {
	case from == to:
		return 0
	case d.Region(from) == d.Region(to):
		return d.OneWayDelay.DataCentres.AsDuration()
	}
	return d.OneWayDelay.Regions.AsDuration()
}

// DataCentreOf returns the data centre of a replica. Instances and replicas are numbered from 0.
func (s Service) DataCentreOf(instance, replica int) string {
	return s.DataCentres[(instance+replica)%len(s.DataCentres)]
}

// EntryDataCentre returns the data centre of an entry daemon. Daemons are numbered from 0.
func (d Deployment) EntryDataCentre(daemon int) string {
	return d.DataCentres[daemon%len(d.DataCentres)].Name
}

// ReplicaCount returns the total number of replicas of all services.
func (d Deployment) ReplicaCount() int {
	total := 0
	for _, s := range d.Services {
		total += s.Instances * s.Replicas
	}
	return total
}

// ScaledDown returns a copy of the deployment that is scaled down by a factor above 0 and up to 1, with counts rounded
// up. Search services get fewer instances with unchanged replicas, so that every shard is as redundant as at full size;
// order services get fewer replicas. The capacity of a replica, the delays and the number of entry daemons do not
// change.
func (d Deployment) ScaledDown(factor float64) (Deployment, error) {
	if !(factor > 0 && factor <= 1) {
		return Deployment{}, eris.Errorf("scale factor %g is outside (0, 1]", factor)
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

// scale returns n times factor, rounded up and at least 1. It first subtracts a tolerance for the floating-point error
// of the product, so that 10 times 0.1 is 1.
func scale(n int, factor float64) int {
	return max(1, int(math.Ceil(float64(n)*factor-1e-9)))
}
