package entry

import (
	"encoding/json"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/chivemill/chivemill/confstore"
	"github.com/chivemill/chivemill/confsync"
	"github.com/chivemill/chivemill/profile"
)

type activeProfile struct {
	profile.Profile
	revision int64
	retired  bool
}

// configChanged puts an item in force. An item that cannot be used leaves the previous one in force.
func (d *Daemon) configChanged(item confsync.Item) {
	if err := d.activate(item); err != nil {
		d.log.Error("configuration item not usable, the previous one stays in force",
			zap.String("key", item.Key), zap.Int64("revision", item.Revision), zap.Error(err))
		return
	}
	d.log.Info("configuration in force", zap.String("key", item.Key), zap.Int64("revision", item.Revision))
}

func (d *Daemon) activate(item confsync.Item) error {
	if item.Deleted {
		return eris.New("configuration keys are retired, not deleted")
	}
	if item.Key == confstore.BindingsKey {
		var b confstore.Bindings
		if err := json.Unmarshal(item.Value, &b); err != nil {
			return eris.Wrap(err, "bindings")
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		d.bindings = b.Services
		return nil
	}
	var v confstore.ProfileValue
	if err := json.Unmarshal(item.Value, &v); err != nil {
		return eris.Wrap(err, "profile value")
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

// profileOf returns the profile that the service runs under.
func (d *Daemon) profileOf(service string) (p activeProfile, bound, found bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	name, bound := d.bindings[service]
	p, found = d.profiles[name]
	return p, bound, found
}
