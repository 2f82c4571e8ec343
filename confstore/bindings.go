package confstore

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/kv"
	"github.com/chivemill/chivemill/profile"
)

// Bindings reads the bindings and their store revision, which is 0 if there are none.
func (c *Client) Bindings(ctx context.Context) (Bindings, int64, error) {
	item, found, err := c.store.Get(ctx, BindingsKey)
	if err != nil || !found {
		return Bindings{Services: map[string]string{}}, 0, err
	}
	b, err := decodeBindings(item)
	return b, item.ModRevision, err
}

func decodeBindings(item kv.Item) (Bindings, error) {
	var b Bindings
	err := json.Unmarshal(item.Value, &b)
	if b.Services == nil {
		b.Services = map[string]string{}
	}
	return b, eris.Wrap(err, "decode the bindings")
}

// Bind binds a service to a profile, which must exist and not be retired. It returns the revision at which the binding
// was accepted. If the service is already bound to the profile, nothing is written. Errors are ErrInvalid for an
// invalid service name, and ErrNotFound and ErrRetired for the profile.
func (c *Client) Bind(ctx context.Context, service, profileName string) (int64, error) {
	if !profile.ValidName(service) {
		return 0, eris.Wrapf(ErrInvalid, "service %q is not a name of lower-case letters, digits and hyphens", service)
	}
	return c.changeBinding(ctx, service, profileName, func(old Bindings) ([]kv.Compare, bool, error) {
		p, err := c.Get(ctx, profileName)
		if err != nil {
			return nil, false, err
		}
		if p.Current.Retired {
			return nil, false, eris.Wrap(ErrRetired, profileName)
		}
		return []kv.Compare{{Key: ProfilePrefix + profileName, ModRevision: p.Revision}}, old.Services[service] == profileName, nil
	})
}

// Unbind removes the binding of a service and returns the revision at which the removal was accepted; daemons then
// reject the service's queries. The error is ErrNotBound if the service is not bound.
func (c *Client) Unbind(ctx context.Context, service string) (int64, error) {
	return c.changeBinding(ctx, service, "", func(old Bindings) ([]kv.Compare, bool, error) {
		if _, ok := old.Services[service]; !ok {
			return nil, false, eris.Wrap(ErrNotBound, service)
		}
		return nil, false, nil
	})
}

// changeBinding commits one binding; an empty profile name removes it. prepare is called with the bindings that the
// change replaces; it returns additional preconditions, or done if there is nothing to write. The bindings are read
// before the profile. If done, the result was correct when the bindings were read, because a bound profile cannot be
// retired.
func (c *Client) changeBinding(ctx context.Context, service, profileName string,
	prepare func(old Bindings) (preconditions []kv.Compare, done bool, err error),
) (int64, error) {
	next := BindingChange{ID: uuid.NewString(), Author: c.author, Time: c.now().UTC(), Service: service, Profile: profileName}
	for range maxChangeAttempts {
		old, baseRevision, err := c.Bindings(ctx)
		if err != nil {
			return 0, err
		}
		preconditions, done, err := prepare(old)
		if err != nil {
			return 0, err
		}
		if done {
			return baseRevision, nil
		}
		next.ReplacedRevision = baseRevision
		value, err := encodeBindings(old, next)
		if err != nil {
			return 0, err
		}
		revision, committed, err := c.commit(ctx, write{
			key: BindingsKey, baseRevision: baseRevision, id: next.ID, value: value, preconditions: preconditions, refs: bindingRefs,
		})
		if err != nil || committed {
			return revision, err
		}
	}
	return 0, eris.Wrapf(ErrContended, "binding of service %s", service)
}

func encodeBindings(old Bindings, next BindingChange) ([]byte, error) {
	if next.Profile == "" {
		delete(old.Services, next.Service)
	} else {
		old.Services[next.Service] = next.Profile
	}
	old.Changes = slices.Insert(old.Changes, 0, next)
	old.Changes = old.Changes[:min(len(old.Changes), historyLimit)]
	data, err := json.Marshal(old)
	return data, eris.Wrap(err, "encode the bindings")
}

func bindingRefs(item kv.Item) ([]changeRef, error) {
	b, err := decodeBindings(item)
	if err != nil {
		return nil, err
	}
	refs := make([]changeRef, len(b.Changes))
	for i, ch := range b.Changes {
		refs[i] = changeRef{ch.ID, ch.ReplacedRevision}
	}
	return refs, nil
}
