// Package confstore changes the operators' configuration in the platform's store.
//
// A change is accepted when it is committed by compare-and-swap. A lost answer of the store is settled by
// reading back the change id.
package confstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/kv"
)

// Keys of the configuration in the store.
const (
	Prefix        = "/chivemill/config/"
	ProfilePrefix = Prefix + "profiles/"
	BindingsKey   = Prefix + "bindings"
)

// historyLimit is the number of earlier documents that a profile's value keeps.
const historyLimit = 16

// Change describes one accepted change of a profile.
type Change struct {
	ID       string    `json:"id"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
	Document string    `json:"document"`
	Retired  bool      `json:"retired,omitempty"`
	// Revision is the store revision that the change replaced.
	Replaced int64 `json:"replaced_revision"`
}

// ProfileValue is the value of a profile's key: the change in force and earlier ones, newest first.
type ProfileValue struct {
	Name    string   `json:"name"`
	Current Change   `json:"current"`
	History []Change `json:"history,omitempty"`
}

// Profile is a stored profile. Revision is the store's modification revision of its key.
type Profile struct {
	ProfileValue
	Revision int64
}

// Bindings is the value of BindingsKey: the profile of each service.
type Bindings struct {
	ChangeID string            `json:"change_id"`
	Services map[string]string `json:"services"`
}

// ConflictError means that another change was accepted first. Current is the profile as it is now.
type ConflictError struct {
	Name    string
	Based   int64
	Current Profile
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("profile %s is at revision %d, the change was based on revision %d", e.Name, e.Current.Revision, e.Based)
}

// InUseError means that a profile cannot be retired because services use it.
type InUseError struct {
	Name     string
	Services []string
}

// Error implements error.
func (e *InUseError) Error() string {
	return fmt.Sprintf("profile %s is in use by %s", e.Name, strings.Join(e.Services, ", "))
}

// ErrNotFound means that no such profile exists.
var ErrNotFound = errors.New("no such profile")

// ErrRetired means that the profile is retired.
var ErrRetired = errors.New("profile is retired")

// Client changes the configuration. It is safe for concurrent use.
type Client struct {
	store  kv.Store
	author string
	now    func() time.Time
}

// NewClient returns a client whose changes carry the author.
func NewClient(store kv.Store, author string) *Client {
	return &Client{store: store, author: author, now: time.Now}
}

// Get reads a profile, retired ones included.
func (c *Client) Get(ctx context.Context, name string) (Profile, error) {
	item, found, err := c.store.Get(ctx, ProfilePrefix+name)
	if err != nil {
		return Profile{}, err
	}
	if !found {
		return Profile{}, eris.Wrap(ErrNotFound, name)
	}
	return decodeProfile(item)
}

func decodeProfile(item kv.Item) (Profile, error) {
	p := Profile{Revision: item.ModRevision}
	err := json.Unmarshal(item.Value, &p.ProfileValue)
	return p, eris.Wrapf(err, "value of %s", item.Key)
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

// Apply writes the document as the profile if the profile is still at the revision that the change is based on;
// 0 means that the profile does not exist. It returns the new revision, or a *ConflictError.
func (c *Client) Apply(ctx context.Context, name, document string, based int64) (int64, error) {
	return c.change(ctx, name, based, nil, func(v *ProfileValue) error {
		v.Current.Document = document
		v.Current.Retired = false
		return nil
	})
}

// Retire retires a profile that no service uses. It returns the new revision, a *ConflictError or an
// *InUseError.
func (c *Client) Retire(ctx context.Context, name string, based int64) (int64, error) {
	bindings, revision, err := c.Bindings(ctx)
	if err != nil {
		return 0, err
	}
	if services := bindings.users(name); len(services) > 0 {
		return 0, &InUseError{Name: name, Services: services}
	}
	guard := []kv.Compare{{Key: BindingsKey, ModRevision: revision}}
	return c.change(ctx, name, based, guard, func(v *ProfileValue) error {
		if v.Current.Retired {
			return eris.Wrap(ErrRetired, name)
		}
		v.Current.Retired = true
		return nil
	})
}

func (b Bindings) users(profile string) []string {
	var services []string
	for service, name := range b.Services {
		if name == profile {
			services = append(services, service)
		}
	}
	sort.Strings(services)
	return services
}

// change edits a profile's value and commits it under the conditions.
func (c *Client) change(ctx context.Context, name string, based int64, guard []kv.Compare, edit func(*ProfileValue) error) (int64, error) {
	key := ProfilePrefix + name
	old := Profile{}
	item, found, err := c.store.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	if found {
		if old, err = decodeProfile(item); err != nil {
			return 0, err
		}
	}
	if old.Revision != based {
		return 0, &ConflictError{Name: name, Based: based, Current: old}
	}
	value := old.ProfileValue
	value.Name = name
	if found {
		value.History = slices.Insert(slices.Clone(value.History), 0, value.Current)
		value.History = value.History[:min(len(value.History), historyLimit)]
	}
	value.Current.ID = uuid.NewString()
	value.Current.Author = c.author
	value.Current.Time = c.now().UTC()
	value.Current.Replaced = based
	if err := edit(&value); err != nil {
		return 0, err
	}
	data, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	result, err := c.store.Txn(ctx, kv.Txn{
		If:   append(guard, kv.Compare{Key: key, ModRevision: based}),
		Puts: []kv.Put{{Key: key, Value: data}},
	})
	if errors.Is(err, kv.ErrUncertain) {
		return c.settle(ctx, name, value.Current.ID, based)
	}
	if err != nil {
		return 0, err
	}
	if !result.Succeeded {
		return 0, c.conflict(ctx, name, based)
	}
	return result.Revision, nil
}

// settle finds out whether a write whose answer was lost took effect.
func (c *Client) settle(ctx context.Context, name, changeID string, based int64) (int64, error) {
	p, err := c.Get(ctx, name)
	if err != nil {
		return 0, errors.Join(kv.ErrUncertain, err)
	}
	if p.Current.ID == changeID {
		return p.Revision, nil
	}
	for _, h := range p.History {
		if h.ID == changeID {
			return p.Revision, nil
		}
	}
	return 0, &ConflictError{Name: name, Based: based, Current: p}
}

func (c *Client) conflict(ctx context.Context, name string, based int64) error {
	p, err := c.Get(ctx, name)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return err
	}
	return &ConflictError{Name: name, Based: based, Current: p}
}

// Bindings reads the bindings and their revision, which is 0 if there are none.
func (c *Client) Bindings(ctx context.Context) (Bindings, int64, error) {
	b := Bindings{Services: map[string]string{}}
	item, found, err := c.store.Get(ctx, BindingsKey)
	if err != nil || !found {
		return b, 0, err
	}
	err = json.Unmarshal(item.Value, &b)
	return b, item.ModRevision, eris.Wrap(err, "value of bindings")
}

// bindAttempts bounds how often Bind starts again after another operator's change.
const bindAttempts = 8

// Bind makes a service run under a profile that exists and is not retired. It returns the new revision.
func (c *Client) Bind(ctx context.Context, service, profile string) (int64, error) {
	for range bindAttempts {
		p, err := c.Get(ctx, profile)
		if err != nil {
			return 0, err
		}
		if p.Current.Retired {
			return 0, eris.Wrap(ErrRetired, profile)
		}
		revision, done, err := c.tryBind(ctx, service, p)
		if err != nil || done {
			return revision, err
		}
	}
	return 0, eris.Errorf("bindings changed %d times during the change", bindAttempts)
}

func (c *Client) tryBind(ctx context.Context, service string, p Profile) (int64, bool, error) {
	b, revision, err := c.Bindings(ctx)
	if err != nil {
		return 0, false, err
	}
	b.Services[service] = p.Name
	b.ChangeID = uuid.NewString()
	data, err := json.Marshal(b)
	if err != nil {
		return 0, false, err
	}
	result, err := c.store.Txn(ctx, kv.Txn{
		If: []kv.Compare{
			{Key: BindingsKey, ModRevision: revision},
			{Key: ProfilePrefix + p.Name, ModRevision: p.Revision},
		},
		Puts: []kv.Put{{Key: BindingsKey, Value: data}},
	})
	if errors.Is(err, kv.ErrUncertain) {
		now, at, readErr := c.Bindings(ctx)
		if readErr != nil {
			return 0, false, errors.Join(err, readErr)
		}
		return at, now.ChangeID == b.ChangeID || now.Services[service] == p.Name, nil
	}
	return result.Revision, result.Succeeded, err
}
