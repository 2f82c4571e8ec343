// Package settings loads and validates the YAML settings files of the processes.
package settings

import (
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap/zapcore"
	"go.yaml.in/yaml/v3"

	"github.com/chivemill/chivemill/internal/strictyaml"
)

// Checker is implemented by settings types that validate their values. Check records each problem in the document.
type Checker interface {
	Check(doc *strictyaml.Document)
}

// Load reads a settings file into out, which holds the defaults. The error lists every problem with file, line and
// field.
func Load(file string, out Checker) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return eris.Wrap(err, "read settings file")
	}
	return Decode(file, data, out)
}

// Decode does the same as Load for the contents of a file.
func Decode(file string, data []byte, out Checker) error {
	doc := strictyaml.Decode(file, data, out)
	if doc.Err() == nil {
		out.Check(doc)
	}
	return doc.Err()
}

// Format returns the settings as YAML, including the defaults.
func Format(s Checker) ([]byte, error) { return yaml.Marshal(s) }

// Store holds the addresses of the platform's services.
type Store struct {
	// Endpoints are the URLs of the etcd v3 JSON gateway, such as http://10.0.0.1:2379.
	Endpoints []string `yaml:"endpoints"`
	// VMListURL is the base URL of the platform's VM list.
	VMListURL string `yaml:"vm_list"`
}

// Entry holds the settings of chivemill-entry.
type Entry struct {
	// Node is the name of this daemon. It is unique among the entry daemons.
	Node       string `yaml:"node"`
	DataCentre string `yaml:"data_centre"`
	Region     string `yaml:"region"`
	// CallerAddress is the HTTP address for callers.
	CallerAddress string `yaml:"listen"`
	// OperatorAddress is the HTTP address for operators and metrics.
	OperatorAddress string `yaml:"operator"`
	// PeerAddress is the address for other entry daemons. It is bound on TCP and UDP.
	PeerAddress string `yaml:"peer"`
	Store       Store  `yaml:"store"`
	// PollInterval is the interval at which the VM list and the load endpoints are read. With 135 replicas, an interval of
	// 500 ms took about 4% of a core per daemon, which exceeds the CPU budget of control traffic.
	PollInterval strictyaml.Duration `yaml:"poll"`
	// BalancerLag is how long the load balancer may send new connections after the daemon has become not ready.
	BalancerLag strictyaml.Duration `yaml:"balancer_lag"`
	// LogLevel is debug, info, warn or error. At level debug, each attempt of a sub-request is logged.
	LogLevel string `yaml:"log_level"`
	// MaxBodyBytes is the maximum size of a request body in bytes.
	MaxBodyBytes int64 `yaml:"max_body"`
	// MaxInFlight is the maximum number of requests in flight.
	MaxInFlight int `yaml:"max_in_flight"`
	// MemoryMB is the memory that the process may use, in MiB. The limits on what it receives are shares of it.
	MemoryMB int `yaml:"memory_mb"`
	// MaxDescriptors is the number of descriptors that the process may open. A lower limit of the operating system counts instead.
	MaxDescriptors int `yaml:"max_descriptors"`
	// ConnectionsPerReplica is the number of connections that all daemons together may open to a replica that has not
	// reported a limit of its own.
	ConnectionsPerReplica int `yaml:"connections_per_replica"`
	// LinkDelays holds the one-way network delay to other data centres by name. The delay to an unlisted data centre
	// counts as 0.
	LinkDelays map[string]strictyaml.Duration `yaml:"link_delays,omitempty"`
	// JoinDelay is how long a starting daemon is not ready and opens no connections to backend servers, so that the
	// other daemons include it in the connection shares first. Daemons that start together learn of each other with
	// their second read of the member list, 10 s after the first one.
	JoinDelay strictyaml.Duration `yaml:"join_delay"`
	// ConnectionHold is how long a stopped daemon remains included in the connection shares.
	ConnectionHold strictyaml.Duration `yaml:"connection_hold"`
}

// DefaultEntry returns the defaults for settings that the file does not contain.
func DefaultEntry() Entry {
	return Entry{
		PollInterval:          strictyaml.Duration(time.Second),
		BalancerLag:           strictyaml.Duration(2 * time.Second),
		LogLevel:              "info",
		MaxBodyBytes:          64 << 10,
		MaxInFlight:           512,
		MemoryMB:              512,
		MaxDescriptors:        16_384,
		ConnectionsPerReplica: 30,
		JoinDelay:             strictyaml.Duration(15 * time.Second),
		ConnectionHold:        strictyaml.Duration(30 * time.Second),
	}
}

// Level returns the log level.
func (e *Entry) Level() string { return e.LogLevel }

// Check implements Checker.
func (e *Entry) Check(doc *strictyaml.Document) {
	CheckRequired(doc, "node", e.Node)
	CheckRequired(doc, "data_centre", e.DataCentre)
	CheckRequired(doc, "region", e.Region)
	CheckAddress(doc, "listen", e.CallerAddress)
	CheckAddress(doc, "operator", e.OperatorAddress)
	CheckAddress(doc, "peer", e.PeerAddress)
	CheckDistinct(doc, NamedAddress{"listen", e.CallerAddress}, NamedAddress{"operator", e.OperatorAddress},
		NamedAddress{"peer", e.PeerAddress})
	if len(e.Store.Endpoints) == 0 {
		doc.AddProblemf("store.endpoints", "at least one endpoint is required")
	}
	for i, endpoint := range e.Store.Endpoints {
		CheckURL(doc, "store.endpoints["+strconv.Itoa(i)+"]", endpoint)
	}
	CheckURL(doc, "store.vm_list", e.Store.VMListURL)
	CheckRange(doc, "poll", e.PollInterval.AsDuration(), 50*time.Millisecond, 10*time.Second)
	CheckRange(doc, "balancer_lag", e.BalancerLag.AsDuration(), 0, time.Minute)
	CheckRange(doc, "max_body", e.MaxBodyBytes, 1, 1<<20)
	CheckRange(doc, "max_in_flight", e.MaxInFlight, 1, 100_000)
	CheckRange(doc, "memory_mb", e.MemoryMB, 64, 1<<20)
	CheckRange(doc, "max_descriptors", e.MaxDescriptors, 256, 1<<20)
	if _, err := zapcore.ParseLevel(e.LogLevel); err != nil {
		doc.AddProblemf("log_level", "%q is not one of debug, info, warn, error", e.LogLevel)
	}
	for name, delay := range e.LinkDelays {
		CheckRange(doc, "link_delays."+name, delay.AsDuration(), 0, time.Second)
	}
	CheckRange(doc, "join_delay", e.JoinDelay.AsDuration(), 100*time.Millisecond, 5*time.Minute)
	CheckRange(doc, "connection_hold", e.ConnectionHold.AsDuration(), time.Second, 10*time.Minute)
	CheckRange(doc, "connections_per_replica", e.ConnectionsPerReplica, 1, 1000)
}

// CheckRequired records a problem if the value is empty.
func CheckRequired(doc *strictyaml.Document, field, value string) {
	if value == "" {
		doc.AddProblemf(field, "is required")
	}
}

// CheckAddress records a problem unless the value is an IP address with a port from 1 to 65535.
func CheckAddress(doc *strictyaml.Document, field, value string) {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		doc.AddProblemf(field, "%q is not an IP address with a port, such as 10.0.0.1:8080", value)
	}
}

// NamedAddress is an address with the name of its settings field.
type NamedAddress struct{ Field, Value string }

// CheckDistinct records a problem for each address that cannot be bound at the same time as an earlier one: the ports
// are equal, and the IP addresses are equal or one of them is unspecified, such as 0.0.0.0.
func CheckDistinct(doc *strictyaml.Document, addresses ...NamedAddress) {
	for i, a := range addresses {
		for _, earlier := range addresses[:i] {
			if addressesConflict(a.Value, earlier.Value) {
				doc.AddProblemf(a.Field, "%s is already used by %s", a.Value, earlier.Field)
				break
			}
		}
	}
}

// addressesConflict reports whether the two addresses cannot be bound at the same time.
func addressesConflict(a, b string) bool {
	addrA, errA := netip.ParseAddrPort(a)
	addrB, errB := netip.ParseAddrPort(b)
	if errA != nil || errB != nil || addrA.Port() != addrB.Port() {
		return false
	}
	return addrA.Addr().Unmap() == addrB.Addr().Unmap() || addrA.Addr().IsUnspecified() || addrB.Addr().IsUnspecified()
}

// CheckURL records a problem unless the value is an http or https URL with a host.
func CheckURL(doc *strictyaml.Document, field, value string) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		doc.AddProblemf(field, "%q is not an http or https URL", value)
	}
}

// CheckRange records a problem unless low <= value <= high.
func CheckRange[T int | int64 | float64 | time.Duration](doc *strictyaml.Document, field string, value, low, high T) {
	if !(value >= low && value <= high) {
		doc.AddProblemf(field, "%v is outside %v to %v", value, low, high)
	}
}
