package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/keys"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
)

// maxEditAttempts is the largest number of attempts of an edit that conflicts with
// edits of other operators.
const maxEditAttempts = 10

// organisationArgs are the positional arguments of a command on an organisation of
// a service.
type organisationArgs struct {
	Service      string `positional-arg-name:"SERVICE" required:"yes"`
	Organisation string `positional-arg-name:"ORGANISATION" required:"yes"`
}

// keyArgs are the positional arguments of a command on a key of an organisation.
// They do not embed organisationArgs, since the parser ignores positional
// arguments in embedded structs.
type keyArgs struct {
	Service      string `positional-arg-name:"SERVICE" required:"yes"`
	Organisation string `positional-arg-name:"ORGANISATION" required:"yes"`
	ID           string `positional-arg-name:"KEY-ID" required:"yes"`
}

// KeyIssue issues a key. The key is printed once and is not stored.
type KeyIssue struct {
	*Globals `no-flag:"true"`
	Args     organisationArgs `positional-args:"yes" required:"yes"`
}

// issueResult is the output of KeyIssue.
type issueResult struct {
	Key     string `json:"key"`
	ID      string `json:"id"`
	Version uint64 `json:"version"`
}

// Execute implements flags.Commander.
func (c *KeyIssue) Execute([]string) error {
	key, stored, err := keys.Generate()
	if err != nil {
		return err
	}
	version, err := c.editKeys(c.Args.Service, c.Args.Organisation, func(list []config.Key) ([]config.Key, error) {
		if containsKey(list, stored.ID) {
			return list, nil // written by an earlier attempt whose reply was lost
		}
		return append(list, stored), nil
	})
	if err != nil {
		return err
	}
	return c.print(issueResult{Key: key, ID: stored.ID, Version: version}, key)
}

// KeyWithdraw removes a key from its organisation, so that it is no longer valid.
type KeyWithdraw struct {
	*Globals `no-flag:"true"`
	Args     keyArgs `positional-args:"yes" required:"yes"`
}

// withdrawResult is the output of KeyWithdraw.
type withdrawResult struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
}

// Execute implements flags.Commander.
func (c *KeyWithdraw) Execute([]string) error {
	seen := false
	version, err := c.editKeys(c.Args.Service, c.Args.Organisation, func(list []config.Key) ([]config.Key, error) {
		seen = seen || containsKey(list, c.Args.ID)
		if !seen {
			return nil, fmt.Errorf("%w: key %s of organisation %s", ErrNotFound, c.Args.ID, c.Args.Organisation)
		}
		return slices.DeleteFunc(list, func(k config.Key) bool { return k.ID == c.Args.ID }), nil
	})
	if err != nil {
		return err
	}
	return c.print(withdrawResult{ID: c.Args.ID, Version: version}, fmt.Sprintf("key %s withdrawn by version %d", c.Args.ID, version))
}

// containsKey reports whether list has a key with the id.
func containsKey(list []config.Key, id string) bool {
	return slices.ContainsFunc(list, func(k config.Key) bool { return k.ID == id })
}

// editKeys changes the keys of an organisation by a conditional write and returns
// the new version of the document. After a conflict it applies change again to the
// keys as the other edit left them; these may already contain the effect of an
// earlier attempt whose reply was lost before the other edit.
func (g *Globals) editKeys(service, organisation string, change func([]config.Key) ([]config.Key, error)) (uint64, error) {
	ctx, cancel := g.context()
	defer cancel()
	store := g.store()
	for range maxEditAttempts {
		version, err := tryEditKeys(ctx, store, service, organisation, change)
		if !errors.Is(err, ErrConflict) {
			return version, err
		}
	}
	return 0, ErrConflict
}

// tryEditKeys makes one attempt of editKeys. It fails with ErrConflict if the
// document changed in the meantime.
func tryEditKeys(ctx context.Context, store objectstore.Store, service, organisation string, change func([]config.Key) ([]config.Key, error)) (uint64, error) {
	obj, err := getDocument(ctx, store, service)
	if err != nil {
		return 0, err
	}
	if obj.Deleted {
		return 0, fmt.Errorf("%w: service %s", ErrNotFound, service)
	}
	obj.Value, err = editDocumentKeys(obj.Value, service, organisation, change)
	if err != nil {
		return 0, err
	}
	stored, err := putDocument(ctx, store, obj)
	return stored.Version, err
}

// editDocumentKeys returns the stored document with the keys of an organisation
// changed and all other fields unchanged.
func editDocumentKeys(raw []byte, service, organisation string, change func([]config.Key) ([]config.Key, error)) ([]byte, error) {
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
		if err := editOrganisationKeys(org, change); err != nil {
			return nil, err
		}
		if err := setField(doc, "organisations", orgs); err != nil {
			return nil, err
		}
		edited, err := json.Marshal(doc)
		if err != nil {
			return nil, fmt.Errorf("ctl: %w", err)
		}
		_, err = config.Parse(service, edited)
		return edited, err
	}
	return nil, fmt.Errorf("%w: organisation %s of service %s", ErrNotFound, organisation, service)
}

// editOrganisationKeys applies change to the keys in the JSON object of an
// organisation.
func editOrganisationKeys(org map[string]json.RawMessage, change func([]config.Key) ([]config.Key, error)) error {
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

// setField sets a field of a JSON object to the encoding of value.
func setField(object map[string]json.RawMessage, name string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("ctl: %w", err)
	}
	object[name] = raw
	return nil
}
