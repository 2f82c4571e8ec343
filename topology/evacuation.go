package topology

import (
	"slices"
	"strings"

	"go.uber.org/zap"

	"github.com/chivemill/chivemill/eventlog"
	"github.com/chivemill/chivemill/kv"
)

// Evacuations are the data centres whose replicas must get no requests, as the operator has written at a revision of the store.
type Evacuations struct {
	Revision    int64    `json:"revision"`
	DataCentres []string `json:"data_centres,omitempty"`
}

// Has reports whether a data centre is evacuated.
func (e Evacuations) Has(dataCentre string) bool { return slices.Contains(e.DataCentres, dataCentre) }

// with returns the evacuations after the one of a data centre has started or ended at a revision.
func (e Evacuations) with(dataCentre string, isEvacuated bool, revision int64) Evacuations {
	next := Evacuations{Revision: max(e.Revision, revision)}
	for _, c := range e.DataCentres {
		if c != dataCentre {
			next.DataCentres = append(next.DataCentres, c)
		}
	}
	if isEvacuated {
		next.DataCentres = append(next.DataCentres, dataCentre)
	}
	slices.Sort(next.DataCentres)
	return next
}

// SetEvacuations replaces the evacuations if they are of a higher revision, and reports whether they changed. If keep is set, the
// current ones remain as well.
func (d *Directory) SetEvacuations(e Evacuations, keep bool) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	current := d.view.Evacuations
	if e.Revision <= current.Revision {
		return false
	}
	if keep {
		// The next read of the store replaces them, even at the same revision.
		e.Revision--
		for _, c := range current.DataCentres {
			e = e.with(c, true, e.Revision)
		}
	}
	d.view.Evacuations = e
	if slices.Equal(e.DataCentres, current.DataCentres) {
		return false
	}
	d.publish()
	return true
}

// applyEvacuations passes evacuations to the directory and logs a change.
func (f *Feed) applyEvacuations(e Evacuations, keep bool, from string) {
	if f.dir.SetEvacuations(e, keep) {
		view, _ := f.dir.View()
		f.log.Info(eventlog.EvacuationsChanged, zap.Strings("data_centres", view.Evacuations.DataCentres), zap.String("from", from),
			zap.String("revision", kv.FormatRevision(e.Revision)))
	}
}

// applyEvacuationEvent applies a change of one evacuation.
func (f *Feed) applyEvacuationEvent(e kv.Event) {
	view, _ := f.dir.View()
	dataCentre := strings.TrimPrefix(e.Item.Key, f.keys.Evacuations)
	f.applyEvacuations(view.Evacuations.with(dataCentre, !e.Deleted, e.Item.ModRevision), false, storeName)
}

// isEvacuationKey reports whether a key of the store is that of an evacuation.
func (f *Feed) isEvacuationKey(key string) bool {
	return f.keys.Evacuations != "" && len(key) > len(f.keys.Evacuations) && strings.HasPrefix(key, f.keys.Evacuations)
}
