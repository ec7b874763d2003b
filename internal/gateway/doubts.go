package gateway

import (
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/streamversion"
)

// An upstream may start again under its ID with another version. Until the list says so, the new
// process runs what is sent to the former one.

// doubtFor is how long before the list brings another start of an upstream the new process may
// have answered requests that were meant for the former one.
const doubtFor = 5 * time.Second

// begunStream is a stream that began at an upstream as it was listed.
type begunStream struct {
	upstream    string
	startedAtMS int64
	at          time.Duration
	record      streamversion.Record
}

// begunAt records at which upstream a stream began whose record has been made.
func (v *streamVersions) begunAt(u *fleet.Upstream, organisation, request string) {
	v.withLock(func(now time.Duration, t *streamversion.Tracker) {
		v.begun = v.recent(now)
		r := streamversion.Record{Key: streamversion.KeyOf(organisation, request), Service: u.Service, Version: u.Version, Until: now + v.horizon}
		v.begun = append(v.begun, begunStream{upstream: u.ID, startedAtMS: u.StartedAtMS, at: now, record: r})
		if listed, ok := v.g.catalog.UsableByID(u.ID); ok { // may say so before the first event comes
			v.doubtOne(now, &v.begun[len(v.begun)-1], &listed)
		}
	})
}

// recent returns the streams that began within doubtFor. The caller holds the lock.
func (v *streamVersions) recent(now time.Duration) []begunStream {
	old := 0
	for old < len(v.begun) && now-v.begun[old].at > doubtFor {
		old++
	}
	return v.begun[old:]
}

// doubt records that the versions of recent streams are in doubt whose upstream has started again
// with another version. The caller holds the lock.
func (v *streamVersions) doubt(now time.Duration, listed []fleet.Upstream) {
	byID := make(map[string]*fleet.Upstream, len(listed))
	for i := range listed {
		byID[listed[i].ID] = &listed[i]
	}
	v.begun = v.recent(now)
	for i := range v.begun {
		if u := byID[v.begun[i].upstream]; u != nil {
			v.doubtOne(now, &v.begun[i], u)
		}
	}
}

// doubtOne does the same for one stream, whose upstream is listed as u. The caller holds the lock.
func (v *streamVersions) doubtOne(now time.Duration, b *begunStream, u *fleet.Upstream) {
	if !startedAgain(u, b.startedAtMS, b.record.Version) || b.record.Version == streamversion.Doubtful {
		return
	}
	b.record.Version = streamversion.Doubtful
	v.tracker.Began(now, b.record)
	v.g.metrics.Count("doubtful_streams")
}

// startedAgain reports whether an entry is that of another process and version than the one
// that was listed before.
func startedAgain(u *fleet.Upstream, startedAtMS int64, version string) bool {
	return u.StartedAtMS != startedAtMS && u.Version != version
}

// replaced reports whether the list has another process and version under the ID of the upstream
// of an attempt that must go on at that version.
func (x *exchange) replaced(a *attempt) bool {
	if x.job.Version == nil {
		return false
	}
	sent := a.Decision.Upstream
	u, ok := x.g.catalog.UsableByID(sent.ID)
	return ok && startedAgain(&u, sent.StartedAtMS, sent.Version)
}

// checkVersion lets a stream that began in this exchange go on nowhere if its version has come
// into doubt since.
func (x *exchange) checkVersion() {
	if x.job.Version == nil || x.takesUp() || x.req.AttemptID == "" {
		return
	}
	key := streamversion.KeyOf(x.organisation(), x.req.AttemptID)
	if began, _, ok := x.g.streamVersions.lookUp(key, []string{x.service}); ok {
		x.job.Version = &began.version
	}
}
