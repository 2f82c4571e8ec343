package peer

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/confsync"
)

func encodeEntries(in []confsync.Entry) []*Entry {
	out := make([]*Entry, len(in))
	for i, e := range in {
		out[i] = &Entry{Key: e.Key, Revision: e.Revision}
	}
	return out
}

func decodeEntries(in []*Entry) []confsync.Entry {
	out := make([]confsync.Entry, len(in))
	for i, e := range in {
		out[i] = confsync.Entry{Key: e.GetKey(), Revision: e.GetRevision()}
	}
	return out
}

func encodeConfirmation(c confsync.Confirmation) *Confirmation {
	if !c.Known {
		return nil
	}
	// Round up, so that the peer never receives an age below the actual one.
	return &Confirmation{AgeUs: (c.Age + time.Microsecond - 1).Microseconds(), Revision: c.Revision}
}

func decodeConfirmation(c *Confirmation) confsync.Confirmation {
	if c == nil {
		return confsync.Confirmation{}
	}
	return confsync.Confirmation{
		Known: true, Age: time.Duration(c.GetAgeUs()) * time.Microsecond, Revision: c.GetRevision(),
	}
}

func encodeCompareResponse(r confsync.CompareResponse) *CompareResponse {
	out := &CompareResponse{
		Ready: r.Ready, Instance: r.Instance, Same: r.Same, Confirmation: encodeConfirmation(r.Confirmation),
	}
	if !r.Same {
		out.Total = r.Digest.Total
		out.Buckets = r.Digest.Buckets[:]
	}
	return out
}

func decodeCompareResponse(r *CompareResponse) (confsync.CompareResponse, error) {
	out := confsync.CompareResponse{
		Ready: r.GetReady(), Instance: r.GetInstance(), Same: r.GetSame(),
		Confirmation: decodeConfirmation(r.GetConfirmation()),
	}
	if r.GetSame() {
		return out, nil
	}
	if len(r.GetBuckets()) != confsync.NumBuckets {
		return out, eris.Errorf("digest has the wrong length: %d buckets", len(r.GetBuckets()))
	}
	out.Digest.Total = r.GetTotal()
	copy(out.Digest.Buckets[:], r.GetBuckets())
	return out, nil
}

func encodeFetchResponse(r confsync.FetchResponse) *FetchResponse {
	out := &FetchResponse{}
	for _, i := range r.Items {
		out.Items = append(out.Items, &Item{Key: i.Key, Revision: i.Revision, Value: i.Value, Deleted: i.Deleted})
	}
	return out
}

func decodeFetchResponse(r *FetchResponse) confsync.FetchResponse {
	var out confsync.FetchResponse
	for _, i := range r.GetItems() {
		out.Items = append(out.Items, confsync.Item{
			Key: i.GetKey(), Revision: i.GetRevision(), Value: i.GetValue(), Deleted: i.GetDeleted(),
		})
	}
	return out
}
