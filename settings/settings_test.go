package settings_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/settings"
)

const validEntry = `node: entry-1
data_centre: braga-a
region: braga
listen: 10.0.0.1:8080
operator: 10.0.0.1:9080
peer: 10.0.0.1:7080
store:
  endpoints: [http://10.0.9.1:2379]
  vm_list: http://10.0.9.1:8000
`

// Guards against invalid settings that are accepted, such as addresses that conflict, and against errors without file,
// line and field.
func TestEntryErrors(t *testing.T) {
	cases := map[string]struct{ old, new, message string }{
		"valid":             {"", "", ""},
		"listen = operator": {"10.0.0.1:9080", "10.0.0.1:8080", "s.yaml:5: operator: 10.0.0.1:8080 is already used by listen"},
		"unspecified":       {"10.0.0.1:7080", "0.0.0.0:9080", "s.yaml:6: peer: 0.0.0.0:9080 is already used by operator"},
		"other IP":          {"10.0.0.1:9080", "127.0.0.1:8080", ""},
		"host name": {"listen: 10.0.0.1:8080", "listen: host:8080",
			`s.yaml:4: listen: "host:8080" is not an IP address with a port, such as 10.0.0.1:8080`},
		"port 0": {"10.0.0.1:7080", "10.0.0.1:0",
			`s.yaml:6: peer: "10.0.0.1:0" is not an IP address with a port, such as 10.0.0.1:8080`},
		"missing node":      {"node: entry-1\n", "", "s.yaml:1: node: is required"},
		"unknown nested":    {"  vm_list:", "  vmlist:", "s.yaml:9: store.vmlist: unknown field"},
		"not a URL":         {"[http://10.0.9.1:2379]", "[10.0.9.1:2379]", `s.yaml:8: store.endpoints[0]: "10.0.9.1:2379" is not an http or https URL`},
		"no endpoints":      {"[http://10.0.9.1:2379]", "[]", "s.yaml:8: store.endpoints: at least one endpoint is required"},
		"missing unit":      {"store:", "poll: 500\nstore:", `s.yaml:7: poll: "500" is not a duration with a unit, such as 250ms`},
		"poll out of range": {"store:", "poll: 1ms\nstore:", "s.yaml:7: poll: 1ms is outside 50ms to 10s"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			cfg := settings.DefaultEntry()
			err := settings.Decode("s.yaml", []byte(strings.Replace(validEntry, tc.old, tc.new, 1)), &cfg)
			if tc.message == "" {
				must.NoError(t, err)
				return
			}
			must.EqError(t, err, tc.message)
		})
	}
}

// Guards against formatted settings that differ from the settings in effect when they are decoded again.
func FuzzEntry(f *testing.F) {
	f.Add([]byte(validEntry))
	f.Add([]byte(strings.Replace(validEntry, "store:", "poll: 1.5s\nmax_body: 9\nstore:", 1)))
	f.Add([]byte("store: {endpoints: [a, [b]]}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		cfg := settings.DefaultEntry()
		if settings.Decode("f", data, &cfg) != nil {
			return
		}
		text, err := settings.Format(&cfg)
		must.NoError(t, err)
		var decoded settings.Entry
		must.NoError(t, settings.Decode("g", text, &decoded))
		must.Eq(t, cfg, decoded)
	})
}
