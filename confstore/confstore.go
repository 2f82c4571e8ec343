package confstore

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/kv"
	"github.com/chivemill/chivemill/profile"
)

// maxChangeAttempts is the maximum number of attempts at a change that conflicts with other operators' changes.
const maxChangeAttempts = 8

// Client reads and changes the configuration. It is safe for concurrent use. It returns the store's errors:
// kv.ErrUnavailable means that nothing was changed, kv.ErrOutcomeUnknown that the outcome is unknown. Apply, Retire,
// Bind and Unbind fail with ErrContended if every attempt conflicted with another change; Retire also does if the
// profile reaches the base revision only after Retire first read it.
type Client struct {
	store  kv.Store
	author string
	now    func() time.Time
	sleep  func(ctx context.Context, d time.Duration) error
}

// NewClient returns a client that records author in each change.
func NewClient(store kv.Store, author string) *Client {
	return &Client{store: store, author: author, now: time.Now, sleep: sleep}
}

// Get reads a profile, which may be retired. The error is ErrNotFound if it does not exist.
func (c *Client) Get(ctx context.Context, name string) (Profile, error) {
	p, err := c.readProfile(ctx, name)
	if err == nil && p.Revision == 0 {
		return p, eris.Wrap(ErrNotFound, name)
	}
	return p, err
}

// readProfile reads a profile. The result has revision 0 if the profile does not exist.
func (c *Client) readProfile(ctx context.Context, name string) (Profile, error) {
	item, found, err := c.store.Get(ctx, ProfilePrefix+name)
	if err != nil || !found {
		return Profile{}, err
	}
	return decodeProfile(item)
}

func decodeProfile(item kv.Item) (Profile, error) {
	p := Profile{Revision: item.ModRevision}
	err := json.Unmarshal(item.Value, &p.ProfileValue)
	return p, eris.Wrapf(err, "decode the value of %s", item.Key)
}

// List reads all profiles, sorted by name.
func (c *Client) List(ctx context.Context) ([]Profile, error) {
	items, _, err := c.store.List(ctx, ProfilePrefix)
	if err != nil {
		return nil, err
	}
	profiles := make([]Profile, 0, len(items))
	for _, item := range items {
		p, err := decodeProfile(item)
		if err != nil {
			return nil, err
		}
		profiles = append(profiles, p)
	}
	return profiles, nil
}

// Apply writes the document as the profile if the profile is still at baseRevision, the revision that the change is
// based on; 0 means that the profile does not exist yet. It returns the new revision, or a *ConflictError. Applying a
// document to a retired profile reactivates it. If the profile already has this document, or if the same author has
// already made this change, nothing is written and the current revision is returned. The error is ErrInvalid if the
// document cannot be decoded or contains another name.
func (c *Client) Apply(ctx context.Context, name, document string, baseRevision int64) (int64, error) {
	p, err := profile.Decode(name, []byte(document))
	if err != nil {
		return 0, errors.Join(ErrInvalid, err)
	}
	if p.Name != name {
		return 0, eris.Wrapf(ErrInvalid, "document of profile %s contains the name %s", name, p.Name)
	}
	next := Change{Document: document}
	return c.change(ctx, name, baseRevision, next, func(old Profile) ([]kv.Compare, bool, error) {
		return nil, old.Current.sameContent(next), nil
	})
}

// Retire retires a profile that no service uses. It returns the new revision. The error is a *ConflictError, an
// *InUseError, ErrNotFound, or ErrRetired if the profile is already retired.
func (c *Client) Retire(ctx context.Context, name string, baseRevision int64) (int64, error) {
	initial, err := c.Get(ctx, name)
	if err != nil {
		return 0, err
	}
	next := Change{Document: initial.Current.Document, Retired: true}
	return c.change(ctx, name, baseRevision, next, func(old Profile) ([]kv.Compare, bool, error) {
		switch {
		case old.Current.Retired:
			return nil, false, eris.Wrap(ErrRetired, name)
		case old.Revision != initial.Revision:
			// The profile reached the base revision after the initial read, so the document read then is outdated.
			return nil, false, eris.Wrapf(ErrContended, "profile %s", name)
		}
		bindings, revision, err := c.Bindings(ctx)
		if err != nil {
			return nil, false, err
		}
		if services := bindings.ServicesOf(name); len(services) > 0 {
			return nil, false, &InUseError{Name: name, Services: services}
		}
		return []kv.Compare{{Key: BindingsKey, ModRevision: revision}}, false, nil
	})
}

func (c Change) sameContent(other Change) bool {
	return c.Document == other.Document && c.Retired == other.Retired
}

// change commits next as the current change of the profile. prepare is called with the stored profile if that is at
// the base revision; it returns additional preconditions, or done if there is nothing to write.
func (c *Client) change(ctx context.Context, name string, baseRevision int64, next Change,
	prepare func(old Profile) (preconditions []kv.Compare, done bool, err error),
) (int64, error) {
	next.ID, next.Author, next.Time, next.ReplacedRevision = uuid.NewString(), c.author, c.now().UTC(), baseRevision
	for range maxChangeAttempts {
		old, err := c.readProfile(ctx, name)
		if err != nil {
			return 0, err
		}
		if old.Revision != baseRevision {
			if current := old.Current; old.Revision > 0 && current.ReplacedRevision == baseRevision && current.Author == c.author && current.sameContent(next) {
				return old.Revision, nil
			}
			return 0, &ConflictError{Name: name, BaseRevision: baseRevision, Current: old}
		}
		preconditions, done, err := prepare(old)
		if err != nil {
			return 0, err
		}
		if done {
			return old.Revision, nil
		}
		value, err := encodeProfile(name, old, next)
		if err != nil {
			return 0, err
		}
		revision, committed, err := c.commit(ctx, write{
			key: ProfilePrefix + name, baseRevision: baseRevision, id: next.ID, value: value, preconditions: preconditions, refs: profileRefs,
		})
		if err != nil || committed {
			return revision, err
		}
	}
	return 0, eris.Wrapf(ErrContended, "profile %s", name)
}

// encodeProfile returns the encoded value with next as the current change and old's changes as the history. It drops
// the oldest changes until the value fits into maxValueBytes.
func encodeProfile(name string, old Profile, next Change) ([]byte, error) {
	value := ProfileValue{Name: name, Current: next}
	if old.Revision > 0 {
		value.History = slices.Insert(slices.Clone(old.History), 0, old.Current)
		value.History = value.History[:min(len(value.History), historyLimit)]
	}
	for {
		data, err := json.Marshal(value)
		if err != nil {
			return nil, eris.Wrap(err, "encode the profile")
		}
		if len(data) <= maxValueBytes || len(value.History) == 0 {
			return data, nil
		}
		value.History = value.History[:len(value.History)-1]
	}
}

func profileRefs(item kv.Item) ([]changeRef, error) {
	p, err := decodeProfile(item)
	if err != nil {
		return nil, err
	}
	refs := []changeRef{{p.Current.ID, p.Current.ReplacedRevision}}
	for _, h := range p.History {
		refs = append(refs, changeRef{h.ID, h.ReplacedRevision})
	}
	return refs, nil
}
