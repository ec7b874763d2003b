package storesync

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/upstreamlist"
)

// rosterChanges are the changes of the list of upstreams since a revision, as
// instances send them to each other.
type rosterChanges struct {
	Since uint64 `json:"since"` // 0 for the whole list
	// IDs are those of all upstreams in the list, empty for the whole list.
	IDs []string `json:"ids,omitempty"`
	// Entries are the upstreams that changed since the revision, or that are
	// draining: that may have become known without a change of the store.
	Entries []wireEntry `json:"entries"`
	// Lapsed are the entries that are not listed but count as live for some time. Builds
	// that do not know the field remove them at once.
	Lapsed []wireLapsed `json:"lapsed,omitempty"`
}

// wireLapsed is an entry that lapsed in an outage of the store.
type wireLapsed struct {
	Entry  wireEntry `json:"entry"`
	LeftMS int64     `json:"left_ms"` // for which it counts as live
}

// wireEntry is an entry as instances send it to each other. The embedded Revision is the
// store's, so that builds without eras compare it as before.
type wireEntry struct {
	fleet.Upstream
	Era uint64 `json:",omitempty"`
}

func toWireEntry(u fleet.Upstream) wireEntry {
	era := objectstore.EraOf(u.Revision)
	u.Revision = objectstore.RevisionOf(u.Revision)
	return wireEntry{u, era}
}

func toWireEntries(list []fleet.Upstream) []wireEntry {
	out := make([]wireEntry, 0, len(list))
	for _, u := range list {
		out = append(out, toWireEntry(u))
	}
	return out
}

// fromWireEntries returns the upstreams of entries. It fails with
// objectstore.ErrVersionOutOfBounds.
func fromWireEntries(list []wireEntry) ([]fleet.Upstream, error) {
	out := make([]fleet.Upstream, 0, len(list))
	for _, e := range list {
		version, err := objectstore.VersionOf(e.Era, e.Revision)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", e.ID, err)
		}
		e.Upstream.Revision = version
		out = append(out, e.Upstream)
	}
	return out, nil
}

func fromWireLapsed(list []wireLapsed) ([]upstreamlist.Lapsed, error) {
	out := make([]upstreamlist.Lapsed, 0, len(list))
	for _, l := range list {
		entries, err := fromWireEntries([]wireEntry{l.Entry})
		if err != nil {
			return nil, err
		}
		left := time.Duration(min(max(l.LeftMS, 0), maxLapsedMS)) * time.Millisecond
		out = append(out, upstreamlist.Lapsed{Upstream: entries[0], Left: left})
	}
	return out, nil
}

// maxLapsedMS bounds the time that a peer may tell.
const maxLapsedMS = 60_000

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
	for _, u := range c.roster.Listed() {
		if since > 0 {
			changes.IDs = append(changes.IDs, u.ID)
		}
		if u.Revision > since || u.State == fleet.UpstreamDraining {
			changes.Entries = append(changes.Entries, toWireEntry(u))
		}
	}
	for _, l := range c.roster.Lapsed(c.opts.Now()) {
		changes.Lapsed = append(changes.Lapsed, wireLapsed{toWireEntry(l.Upstream), l.Left.Milliseconds()})
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
	entries, err := fromWireEntries(changes.Entries)
	if err != nil {
		return fmt.Errorf("storesync: decoding the changes of the list of upstreams from %s: %w", peer, err)
	}
	if changes.Since > 0 {
		if entries, err = c.mergeRoster(changes.IDs, entries); err != nil {
			return fmt.Errorf("storesync: applying the changes of the list of upstreams from %s: %w", peer, err)
		}
	}
	lapsed, err := fromWireLapsed(changes.Lapsed)
	if err != nil {
		return fmt.Errorf("storesync: decoding the changes of the list of upstreams from %s: %w", peer, err)
	}
	c.replaceRoster(revision, entries, lapsed, peer)
	c.mu.Lock()
	c.wholeRosterNext = false
	c.mu.Unlock()
	return nil
}

// mergeRoster returns the whole list that the changes lead to.
func (c *Controller) mergeRoster(ids []string, changed []fleet.Upstream) ([]fleet.Upstream, error) {
	byID := make(map[string]fleet.Upstream, len(ids))
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range c.roster.Listed() {
		byID[u.ID] = u
	}
	for _, l := range c.roster.Lapsed(0) {
		byID[l.Upstream.ID] = l.Upstream
	}
	for _, u := range changed {
		byID[u.ID] = u
	}
	out := make([]fleet.Upstream, 0, len(ids))
	for _, id := range ids {
		u, ok := byID[id]
		if !ok {
			c.wholeRosterNext = true
			return nil, fmt.Errorf("%w: %s", errChangesDoNotFit, id)
		}
		out = append(out, u)
	}
	return out, nil
}
