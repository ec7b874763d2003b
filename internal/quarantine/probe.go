package quarantine

import "time"

// maxProbes is the number of probes of a verdict: requests that are sent although they
// would be held back, in case the verdict is wrong or the fault is gone. Each may crash an
// upstream.
const maxProbes = 3

// probeDelays are the times from the last crash or probe to the next probe, in an outage
// those of outageProbeDelays: the key may be in all requests, so that a wrong verdict would
// end the service. knownKeyProbeDelays are for keys that were once in an answered request.
var (
	probeDelays         = [maxProbes]time.Duration{2 * time.Minute, 8 * time.Minute, 32 * time.Minute}
	knownKeyProbeDelays = [maxProbes]time.Duration{0, 2 * time.Minute, 8 * time.Minute}
	outageProbeDelays   = [maxProbes]time.Duration{500 * time.Millisecond, 500 * time.Millisecond, 2 * time.Minute}
)

// settleTime is the time in which an instance that has started learns which others run.
const settleTime = 3 * time.Second

// probeTimeout is the time after which a probe without a result is sent again.
const probeTimeout = 2 * time.Second

// Held returns the verdict by which a request with the keys is held back now. It returns
// none if this instance is to send it as a probe.
func (t *Tracker) Held(now time.Duration, keys []Key) (Verdict, bool) {
	for _, v := range t.Verdicts(now) {
		if !v.matches(keys) || t.probeDue(now, &v) {
			continue
		}
		for _, k := range v.Keys {
			t.suspects[k].heldAt = now
		}
		return v, true
	}
	return Verdict{}, false
}

// Take reports whether a request with the keys may be sent now, also as a probe.
func (t *Tracker) Take(now time.Duration, keys []Key) bool {
	if _, held := t.Held(now, keys); held {
		return false
	}
	for _, v := range t.Verdicts(now) {
		if v.matches(keys) {
			t.probing[v.Keys[0]] = now
		}
	}
	return true
}

// endProbe records that an attempt with the keys broke, which ends a probe.
func (t *Tracker) endProbe(now time.Duration, keys []Key) {
	for _, v := range t.Verdicts(now) {
		if _, probing := t.probing[v.Keys[0]]; !probing || !v.matches(keys) {
			continue
		}
		delete(t.probing, v.Keys[0])
		for _, k := range v.Keys {
			s := t.suspects[k]
			s.Probes, s.ProbedAt = v.Probes+1, now
		}
		t.version++
	}
}

// NextProbe returns when a request may be sent as a probe. ok is false if none may.
func (v *Verdict) NextProbe() (at time.Duration, ok bool) {
	if v.Probes >= maxProbes {
		return 0, false
	}
	delays := probeDelays
	switch {
	case v.Outage:
		delays = outageProbeDelays
	case v.Known:
		delays = knownKeyProbeDelays
	}
	return max(v.LastCrash, v.ProbedAt) + delays[v.Probes], true
}

// probeDue reports whether this instance is to send a request as a probe now. Of the
// instances that run, one does for each verdict, one request at a time.
func (t *Tracker) probeDue(now time.Duration, v *Verdict) bool {
	at, ok := v.NextProbe()
	if !ok || now < at || t.joinedAt == 0 || now-t.joinedAt < settleTime || t.prober(v) != t.name {
		return false
	}
	sentAt, probing := t.probing[v.Keys[0]]
	return !probing || now-sentAt >= probeTimeout
}

// prober returns the name of the instance that probes.
func (t *Tracker) prober(v *Verdict) string {
	best, rank := "", uint64(0)
	for _, name := range t.members {
		if r := hash(name + " " + v.Keys[0].String()); best == "" || r < rank || r == rank && name < best {
			best, rank = name, r
		}
	}
	return best
}
