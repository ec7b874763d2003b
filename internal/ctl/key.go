package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/keys"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
)

// maxEditTries bounds how often an edit is repeated after a conflict with
// another operator's.
const maxEditTries = 10

// organisationArguments name an organisation of a service.
type organisationArguments struct {
	Service      string `positional-arg-name:"SERVICE" required:"yes"`
	Organisation string `positional-arg-name:"ORGANISATION" required:"yes"`
}

// keyArguments name a key of an organisation. The parser fills no positional
// arguments of embedded structs.
type keyArguments struct {
	Service      string `positional-arg-name:"SERVICE" required:"yes"`
	Organisation string `positional-arg-name:"ORGANISATION" required:"yes"`
	ID           string `positional-arg-name:"KEY-ID" required:"yes"`
}

// KeyIssue makes a key; the key is printed once and stored nowhere.
type KeyIssue struct {
	*Globals `no-flag:"true"`
	Args     organisationArguments `positional-args:"yes" required:"yes"`
}

// issued is the output of KeyIssue.
type issued struct {
	Key     string `json:"key"`
	ID      string `json:"id"`
	Version uint64 `json:"version"`
}

// Execute implements flags.Commander.
func (c *KeyIssue) Execute([]string) error {
	key, stored, err := keys.Issue()
	if err != nil {
		return err
	}
	version, err := c.edit(c.Args.Service, c.Args.Organisation, func(list []config.Key) ([]config.Key, error) {
		if hasKey(list, stored.ID) {
			return list, nil // written by a try whose reply was lost
		}
		return append(list, stored), nil
	})
	if err != nil {
		return err
	}
	return c.print(issued{Key: key, ID: stored.ID, Version: version}, key)
}

// KeyWithdraw takes a key out of force.
type KeyWithdraw struct {
	*Globals `no-flag:"true"`
	Args     keyArguments `positional-args:"yes" required:"yes"`
}

// withdrawn is the output of KeyWithdraw.
type withdrawn struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
}

// Execute implements flags.Commander.
func (c *KeyWithdraw) Execute([]string) error {
	seen := false
	version, err := c.edit(c.Args.Service, c.Args.Organisation, func(list []config.Key) ([]config.Key, error) {
		seen = seen || hasKey(list, c.Args.ID)
		if !seen {
			return nil, fmt.Errorf("%w: key %s of organisation %s", ErrNotFound, c.Args.ID, c.Args.Organisation)
		}
		return slices.DeleteFunc(list, func(k config.Key) bool { return k.ID == c.Args.ID }), nil
	})
	if err != nil {
		return err
	}
	return c.print(withdrawn{ID: c.Args.ID, Version: version}, fmt.Sprintf("key %s withdrawn by version %d", c.Args.ID, version))
}

func hasKey(list []config.Key, id string) bool {
	return slices.ContainsFunc(list, func(k config.Key) bool { return k.ID == id })
}

// edit changes the keys of an organisation by conditional update; an edit that
// conflicts with another one is repeated on what that left. change may see the
// effect of an earlier try, whose reply was lost before the other's edit.
func (g *Globals) edit(service, organisation string, change func([]config.Key) ([]config.Key, error)) (uint64, error) {
	ctx, cancel := g.context()
	defer cancel()
	store := g.store()
	for range maxEditTries {
		version, err := editOnce(ctx, store, service, organisation, change)
		if !errors.Is(err, ErrConflict) {
			return version, err
		}
	}
	return 0, ErrConflict
}

func editOnce(ctx context.Context, store platform.Store, service, organisation string, change func([]config.Key) ([]config.Key, error)) (uint64, error) {
	obj, err := current(ctx, store, service)
	if err != nil {
		return 0, err
	}
	if obj.Deleted {
		return 0, fmt.Errorf("%w: service %s", ErrNotFound, service)
	}
	obj.Value, err = changeKeys(obj.Value, service, organisation, change)
	if err != nil {
		return 0, err
	}
	stored, err := write(ctx, store, obj)
	return stored.Version, err
}

// changeKeys edits the stored document and leaves all its other fields as they
// are.
func changeKeys(raw []byte, service, organisation string, change func([]config.Key) ([]config.Key, error)) ([]byte, error) {
	var doc map[string]json.RawMessage
	if err := json.Unmarshal(raw, &doc); err != nil {
		return nil, fmt.Errorf("ctl: stored document: %w", err)
	}
	var orgs []map[string]json.RawMessage
	if err := json.Unmarshal(doc["organisations"], &orgs); err != nil {
		return nil, fmt.Errorf("ctl: stored document: organisations: %w", err)
	}
	for _, org := range orgs {
		var name string
		if json.Unmarshal(org["name"], &name) != nil || name != organisation {
			continue
		}
		if err := changeOrganisation(org, change); err != nil {
			return nil, err
		}
		if err := setField(doc, "organisations", orgs); err != nil {
			return nil, err
		}
		next, err := json.Marshal(doc)
		if err != nil {
			return nil, fmt.Errorf("ctl: %w", err)
		}
		_, err = config.Parse(service, next)
		return next, err
	}
	return nil, fmt.Errorf("%w: organisation %s of service %s", ErrNotFound, organisation, service)
}

func changeOrganisation(org map[string]json.RawMessage, change func([]config.Key) ([]config.Key, error)) error {
	var list []config.Key
	if raw, ok := org["keys"]; ok {
		if err := json.Unmarshal(raw, &list); err != nil {
			return fmt.Errorf("ctl: stored document: keys: %w", err)
		}
	}
	list, err := change(list)
	if err != nil {
		return err
	}
	return setField(org, "keys", list)
}

func setField(object map[string]json.RawMessage, name string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("ctl: %w", err)
	}
	object[name] = raw
	return nil
}
