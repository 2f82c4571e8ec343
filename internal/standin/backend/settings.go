package backend

import (
	"time"

	"github.com/chivemill/chivemill/internal/strictyaml"
	"github.com/chivemill/chivemill/settings"
)

// Settings holds the settings file of the stand-in.
type Settings struct {
	Replica    string `yaml:"replica"`
	Service    string `yaml:"service"`
	DataCentre string `yaml:"data_centre"`
	Listen     string `yaml:"listen"`
	// Shards is the number of shards of a search service; 0 means that the service executes orders.
	Shards int `yaml:"shards"`
	// Shard is the number of the shard that this replica serves, from 0.
	Shard int `yaml:"shard"`
	// ItemCount is the number of records in the index, over all shards.
	ItemCount    int   `yaml:"items"`
	IndexVersion int64 `yaml:"index_version"`
	MapVersion   int64 `yaml:"map_version"`
	// Slots is the number of requests that are executed in parallel.
	Slots int `yaml:"slots"`
	// Queue is the number of waiting requests at which the replica refuses further ones.
	Queue int `yaml:"queue"`
	// MaxConnections is the limit of open connections that the load endpoint reports.
	MaxConnections int `yaml:"connections"`
	// ServiceTime is the median execution time of a request.
	ServiceTime strictyaml.Duration `yaml:"service_time"`
	// WarmupTime is the warm-up time after the start, during which requests take WarmupFactor times as long.
	WarmupTime   strictyaml.Duration `yaml:"cold_for"`
	WarmupFactor float64             `yaml:"cold_factor"`
	// NetworkDelays holds simulated one-way network delays by the data centre of the entry daemon. Requests and answers
	// are delayed once each; the first request on a connection takes one more round trip.
	NetworkDelays map[string]strictyaml.Duration `yaml:"delays,omitempty"`
	// ConnectionCost is the simulated time to accept a new connection.
	ConnectionCost strictyaml.Duration `yaml:"connection_cost"`
	// DrainFor is how long the process keeps running after a stop signal.
	DrainFor strictyaml.Duration `yaml:"drain_for"`
	// ControlHost is the IP address of a measuring client whose connections are not counted; empty for none.
	ControlHost string `yaml:"control_host,omitempty"`
	// ExecutionLog is a file to which each execution of a non-idempotent request is appended as a JSON line; empty for
	// none.
	ExecutionLog string `yaml:"execution_log,omitempty"`
	// Report is a file to which the counters are appended as a JSON line when the process ends; empty for none.
	Report string `yaml:"report,omitempty"`
}

// Default returns the default settings.
func Default() Settings {
	return Settings{
		ItemCount: 200, IndexVersion: 1, MapVersion: 1, Slots: 5, Queue: 50, MaxConnections: 40,
		ServiceTime: strictyaml.Duration(2 * time.Millisecond), WarmupFactor: 3,
		DrainFor: strictyaml.Duration(time.Second),
	}
}

// Check implements settings.Checker.
func (s *Settings) Check(doc *strictyaml.Document) {
	settings.CheckRequired(doc, "replica", s.Replica)
	settings.CheckRequired(doc, "service", s.Service)
	settings.CheckRequired(doc, "data_centre", s.DataCentre)
	settings.CheckAddress(doc, "listen", s.Listen)
	settings.CheckRange(doc, "shards", s.Shards, 0, 10_000)
	settings.CheckRange(doc, "shard", s.Shard, 0, max(0, s.Shards-1))
	settings.CheckRange(doc, "slots", s.Slots, 1, 1000)
	settings.CheckRange(doc, "queue", s.Queue, 0, 100_000)
	settings.CheckRange(doc, "connections", s.MaxConnections, 1, 10_000)
	settings.CheckRange(doc, "cold_factor", s.WarmupFactor, 1, 100)
	settings.CheckRange(doc, "connection_cost", s.ConnectionCost.AsDuration(), 0, time.Second)
	for name, delay := range s.NetworkDelays {
		settings.CheckRange(doc, "delays."+name, delay.AsDuration(), 0, time.Second)
	}
}
