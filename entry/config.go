package entry

import (
	"encoding/json"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/chivemill/chivemill/confstore"
	"github.com/chivemill/chivemill/confsync"
	"github.com/chivemill/chivemill/profile"
)

// activeProfile is a profile in force with the configuration revision that set it.
type activeProfile struct {
	profile.Profile
	revision int64
	retired  bool
}

// onConfigChange applies a changed configuration item. If the item is invalid, the previous one stays in force.
func (d *Daemon) onConfigChange(item confsync.Item) {
	if err := d.applyConfigItem(item); err != nil {
		d.log.Error("configuration item not usable, the previous one stays in force",
			zap.String("key", item.Key), zap.Int64("revision", item.Revision), zap.Error(err))
		return
	}
	d.log.Info("configuration in force", zap.String("key", item.Key), zap.Int64("revision", item.Revision))
}

func (d *Daemon) applyConfigItem(item confsync.Item) error {
	if item.Deleted {
		return eris.New("configuration key was deleted; keys may only be retired")
	}
	if item.Key == confstore.BindingsKey {
		var b confstore.Bindings
		if err := json.Unmarshal(item.Value, &b); err != nil {
			return eris.Wrap(err, "decode bindings")
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		d.bindings = b.Services
		return nil
	}
	var v confstore.ProfileValue
	if err := json.Unmarshal(item.Value, &v); err != nil {
		return eris.Wrap(err, "decode profile value")
	}
	p, err := profile.Decode(v.Name, []byte(v.Current.Document))
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.profiles[v.Name] = activeProfile{Profile: p, revision: item.Revision, retired: v.Current.Retired}
	return nil
}

// profileFor returns the profile that the service is bound to. bound is false if the service has no binding; found is
// false if the profile of the binding is not known.
func (d *Daemon) profileFor(service string) (p activeProfile, bound, found bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	name, bound := d.bindings[service]
	p, found = d.profiles[name]
	return p, bound, found
}
