package storesync

import (
	"fmt"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
)

// maxMalformedLogged bounds the entries whose errors are remembered, so that each is logged
// once.
const maxMalformedLogged = 1024

// logMalformed logs and counts entries that cannot be decoded, once for each error.
func (c *Controller) logMalformed(list []objectstore.Malformed) {
	c.logMalformedAs("malformed upstream entry skipped", list)
}

func (c *Controller) logMalformedAs(message string, list []objectstore.Malformed) {
	for _, m := range list {
		if !c.firstMalformed(m.Name, m.Err) {
			continue
		}
		c.opts.Log.Warn(message, "upstream", m.Name, "error", malformedText(m.Err))
		if c.opts.OnMalformed != nil {
			c.opts.OnMalformed()
		}
	}
}

// logMalformedConfig logs and counts entries of the configuration's kind that cannot be read,
// once for each error. An entry without a name may be the configuration.
func (c *Controller) logMalformedConfig(list []objectstore.Malformed) {
	for _, m := range list {
		named := m.Name == "" || m.Name == c.opts.Decoder.ConfigName
		if named && c.firstMalformed(string(objectstore.KindConfig)+"/"+m.Name, m.Err) {
			c.opts.Log.Error("configuration entry malformed", "name", m.Name, "error", malformedText(m.Err))
			c.countMalformedConfig(1)
		}
	}
}

// decodeEntry decodes an entry of the list of upstreams. A malformed entry is
// skipped; one with malformed fields that are not needed is used without them.
func (c *Controller) decodeEntry(obj objectstore.Object) (fleet.Upstream, bool) {
	u, err := c.opts.Decoder.Upstream(obj)
	if err == nil {
		if u.Malformed != nil {
			c.logMalformedAs("malformed field of an upstream entry skipped", []objectstore.Malformed{{Name: obj.Name, Err: u.Malformed}})
		}
		return u, true
	}
	c.logMalformed([]objectstore.Malformed{{Name: obj.Name, Err: err}})
	return fleet.Upstream{}, false
}

// malformedText returns the error of a malformed entry as it is logged.
func malformedText(err error) string { return fmt.Sprintf("%.200v", err) }

// firstMalformed records the error of a malformed entry, by a name that is unique over the
// kinds, and reports whether it was not the last one recorded.
func (c *Controller) firstMalformed(name string, err error) bool {
	text := malformedText(err)
	c.mu.Lock()
	defer c.mu.Unlock()
	first := c.malformed[name] != text
	if len(c.malformed) >= maxMalformedLogged {
		clear(c.malformed)
	}
	c.malformed[name] = text
	return first
}
