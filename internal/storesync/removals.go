package storesync

import "github.com/eelgrassbay/eelgrassbay/internal/upstreamlist"

// Removals returns the upstreams whose entries are gone, for peers that may still have them.
func (c *Controller) Removals() []upstreamlist.Removal {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.roster.Removals(c.opts.Now())
}

// RecordRemovals records that a peer knows that entries are gone.
func (c *Controller) RecordRemovals(list []upstreamlist.Removal, peer string) {
	var gone []string
	c.mu.Lock()
	for _, r := range list {
		if c.roster.RecordRemoval(c.opts.Now(), r) {
			gone = append(gone, r.ID)
		}
	}
	c.mu.Unlock()
	if len(gone) == 0 {
		return
	}
	c.opts.Log.Info("upstreams gone", "upstreams", gone, "reason", "a peer knows that their entries are gone", "peer", peer)
	c.opts.OnChange()
}
