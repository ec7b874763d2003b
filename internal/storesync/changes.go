package storesync

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
)

// rosterChanges are the changes of the list of upstreams since a revision, as
// instances send them to each other.
type rosterChanges struct {
	Since uint64 `json:"since"` // 0 for the whole list
	// IDs are those of all upstreams in the list, empty for the whole list.
	IDs []string `json:"ids,omitempty"`
	// Entries are the upstreams that changed since the revision, or that are
	// draining: that may have become known without a change of the store.
	Entries []fleet.Upstream `json:"entries"`
}

// errChangesDoNotFit means that the changes leave out an upstream that this instance
// does not know.
var errChangesDoNotFit = errors.New("the changes do not fit the list of this instance")

// RosterChanges returns the changes of the list of upstreams since a revision and
// the revision that they lead to, 0 if the list is not newer.
func (c *Controller) RosterChanges(since uint64) (revision uint64, raw []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.roster.Known() || c.roster.Revision() <= since {
		return 0, nil, nil
	}
	changes := rosterChanges{Since: since}
	for _, u := range c.roster.All() {
		if since > 0 {
			changes.IDs = append(changes.IDs, u.ID)
		}
		if u.Revision > since || u.State == fleet.UpstreamDraining {
			changes.Entries = append(changes.Entries, u)
		}
	}
	if raw, err = json.Marshal(changes); err != nil {
		return 0, nil, fmt.Errorf("storesync: encoding the changes of the list of upstreams: %w", err)
	}
	return c.roster.Revision(), raw, nil
}

// RosterBase returns the revision of the list of upstreams to ask peers for the
// changes since, 0 to ask for the whole list.
func (c *Controller) RosterBase() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wholeRosterNext {
		return 0
	}
	return c.roster.Revision()
}

// ApplyRosterChanges applies the changes that a peer sent, which lead to a revision.
// If they do not fit the list of this instance, RosterBase asks for the whole list.
func (c *Controller) ApplyRosterChanges(revision uint64, raw []byte, peer string) error {
	var changes rosterChanges
	if err := json.Unmarshal(raw, &changes); err != nil {
		return fmt.Errorf("storesync: decoding the changes of the list of upstreams from %s: %w", peer, err)
	}
	entries := changes.Entries
	if changes.Since > 0 {
		var err error
		if entries, err = c.mergeRoster(&changes); err != nil {
			return fmt.Errorf("storesync: applying the changes of the list of upstreams from %s: %w", peer, err)
		}
	}
	c.replaceRoster(revision, entries, peer)
	c.mu.Lock()
	c.wholeRosterNext = false
	c.mu.Unlock()
	return nil
}

// mergeRoster returns the whole list that the changes lead to.
func (c *Controller) mergeRoster(changes *rosterChanges) ([]fleet.Upstream, error) {
	byID := make(map[string]fleet.Upstream, len(changes.IDs))
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range c.roster.All() {
		byID[u.ID] = u
	}
	for _, u := range changes.Entries {
		byID[u.ID] = u
	}
	out := make([]fleet.Upstream, 0, len(changes.IDs))
	for _, id := range changes.IDs {
		u, ok := byID[id]
		if !ok {
			c.wholeRosterNext = true
			return nil, fmt.Errorf("%w: %s", errChangesDoNotFit, id)
		}
		out = append(out, u)
	}
	return out, nil
}
