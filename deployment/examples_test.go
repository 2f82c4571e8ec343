package deployment_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/deployment"
	"github.com/chivemill/chivemill/profile"
	"github.com/chivemill/chivemill/settings"
)

const examplesDir = "../examples"

// Guards against example files that no longer load, and against example files that this test does not cover.
func TestExamplesLoad(t *testing.T) {
	profiles := map[string]bool{}
	var deployments []deployment.Deployment
	loaded := 0
	err := filepath.WalkDir(examplesDir, func(path string, entry os.DirEntry, err error) error {
		must.NoError(t, err)
		if entry.IsDir() || filepath.Ext(path) == ".md" {
			return nil
		}
		loaded++
		baseName := strings.TrimSuffix(entry.Name(), ".yaml")
		switch filepath.Base(filepath.Dir(path)) {
		case "profiles":
			data, err := os.ReadFile(path)
			must.NoError(t, err)
			p, err := profile.Decode(path, data)
			must.NoError(t, err)
			must.Eq(t, baseName, p.Name)
			profiles[p.Name] = true
		case "entries":
			entrySettings := settings.DefaultEntry()
			must.NoError(t, settings.Load(path, &entrySettings))
			must.Eq(t, baseName, entrySettings.Node)
		default:
			must.Eq(t, "services", baseName)
			d, err := deployment.Load(path)
			must.NoError(t, err)
			deployments = append(deployments, d)
		}
		return nil
	})
	must.NoError(t, err)
	must.Eq(t, 2+2*7+2*3, loaded)
	for _, d := range deployments {
		for _, s := range d.Services {
			must.True(t, profiles[s.Profile], must.Sprintf("%s: service %s uses the unknown profile %s", d.Name, s.Name, s.Profile))
		}
	}
}

// Guards against example deployments whose sizes differ from section 1 of the design page, and against entry settings
// that do not match the services file.
func TestExampleSizesAndEntrySettings(t *testing.T) {
	for dir, want := range map[string]int{"gravura-canina": 10*3 + 15*3 + 40 + 20, "tutkal": 10*3 + 15*3 + 20 + 10} {
		d, err := deployment.Load(filepath.Join(examplesDir, dir, "services.yaml"))
		must.NoError(t, err)
		must.Eq(t, want, d.ReplicaCount())
		must.Eq(t, 7, d.Entry.Daemons)
		addresses := map[string]bool{}
		for i := range d.Entry.Daemons {
			entrySettings := settings.DefaultEntry()
			must.NoError(t, settings.Load(filepath.Join(examplesDir, dir, "entries", "entry-"+string(rune('1'+i))+".yaml"), &entrySettings))
			must.Eq(t, d.EntryDataCentre(i), entrySettings.DataCentre)
			must.Eq(t, d.Region(entrySettings.DataCentre), entrySettings.Region)
			must.Eq(t, d.Store, entrySettings.Store)
			addresses[entrySettings.CallerAddress] = true
		}
		must.MapLen(t, 7, addresses)
		first, second := d.DataCentres[0].Name, d.DataCentres[1].Name
		must.Eq(t, 0, d.Delay(first, first))
		must.Eq(t, d.OneWayDelay.Regions.AsDuration(), d.Delay(first, second))
		must.Greater(t, time.Duration(0), d.Delay(first, second))
	}
}

// Guards against descriptions of fleets that cannot work, and against error messages that name the wrong line or field.
func TestDecodeErrorMessages(t *testing.T) {
	data, err := os.ReadFile(filepath.Join(examplesDir, "tutkal", "services.yaml"))
	must.NoError(t, err)
	cases := []struct{ old, new, message string }{
		{"kind: order", "kind: orders", `d.yaml:42: services[2].kind: "orders" is not one of search, order`},
		{"kind: search", "kind: order", `d.yaml:26: services[0].instances: 10 is not allowed, a service of kind order has exactly 1`},
		{"slots: 3", "slots: 31", "d.yaml:29: services[0].connections: 30 is less than the 31 slots, so some slots could never be used"},
		{"[marmara-a, ege-a,", "[marmara-a, egea,", `d.yaml:31: services[0].data_centres[1]: "egea" is not listed in data_centres`},
		{"name: fatura", "name: vitrin", `d.yaml:32: services[1].name: "vitrin" is given twice`},
		{"regions: 8ms", "regions: 3ms", "d.yaml:18: one_way_delay.regions: 3ms is less than the delay of 3.5ms between data centres"},
		{"daemons: 7", "daemons: 0", "d.yaml:21: entry.daemons: 0 is outside 1 to 2000"},
	}
	for _, c := range cases {
		_, err := deployment.Decode("d.yaml", []byte(strings.Replace(string(data), c.old, c.new, 1)))
		must.EqError(t, err, c.message)
	}
}
