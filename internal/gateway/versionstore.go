package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/streamversion"
	"github.com/eelgrassbay/eelgrassbay/internal/wait"
)

// versionStoreInterval is the interval at which an instance reads the stored versions until
// it has them once, and looks whether they have changed.
const versionStoreInterval = 500 * time.Millisecond

// versionReadTimeout is the longest timeout of a read of what is stored. Its size is that of
// the records of streams: 1.4 MB at the planned size, which takes 1.2 s over 10 Mbit/s.
const versionReadTimeout = 8 * time.Second

// versionStoreBackoff is the pause after a write that failed.
const versionStoreBackoff = 5 * time.Second

// storedVersions is the value of an object that has the software versions that a service had
// within the horizon of its streams. It outlasts the processes of all instances. It has no
// times, since clocks are not compared: whoever reads it counts from then.
type storedVersions struct {
	Versions []string `json:"versions"` // sorted
}

// errMalformedVersions means that an object with versions cannot be decoded.
var errMalformedVersions = errors.New("gateway: malformed versions of a service")

// keepVersions reads the stored versions once, and then lets the instances that poll the
// store write those that change, until ctx ends.
func (v *streamVersions) keepVersions(ctx context.Context) error {
	for timeout := callTimeout; ctx.Err() == nil; timeout = min(2*timeout, versionReadTimeout) {
		err := v.read(ctx, timeout)
		if err == nil {
			break
		}
		v.g.log.Debug("failed to read the stored versions", "error", err)
		wait.Sleep(ctx, versionStoreInterval)
	}
	for wait.Sleep(ctx, versionStoreInterval) {
		if !v.g.pollsStore() {
			continue
		}
		for service, versions := range v.unstored() {
			if err := v.write(ctx, service, versions); err != nil && ctx.Err() == nil {
				v.g.log.Warn("failed to store the versions of a service", "service", service, "versions", versions, "error", err)
				wait.Sleep(ctx, versionStoreBackoff)
			}
		}
	}
	return nil
}

// read records the stored versions as listed now: how long ago they were is not known. The
// same holds for the stored records of streams.
func (v *streamVersions) read(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	list, err := v.g.opts.Store.List(ctx, objectstore.KindSoftware)
	if err != nil {
		return err
	}
	segments := segmentsOf(list.Objects)
	v.withLock(func(now time.Duration, t *streamversion.Tracker) {
		for _, obj := range list.Objects {
			if _, _, ok := parseSegmentName(obj.Name); ok {
				continue
			}
			stored, err := decodeVersions(obj)
			if err != nil {
				v.g.log.Warn("stored versions skipped", "service", obj.Name, "error", err)
				continue
			}
			v.stored[obj.Name] = stored
			for _, version := range stored {
				t.History().Observe(now, obj.Name, version)
			}
		}
		v.restore(now, t, segments)
		v.storeRead = true
	})
	v.wakeUp()
	return nil
}

func decodeVersions(obj objectstore.Object) ([]string, error) {
	var in storedVersions
	if obj.Deleted || len(obj.Value) == 0 {
		return nil, nil
	}
	if err := json.Unmarshal(obj.Value, &in); err != nil {
		return nil, errors.Join(errMalformedVersions, err)
	}
	return in.Versions[:min(len(in.Versions), streamversion.MaxVersions)], nil
}

// unstored returns the versions of the services whose stored ones differ.
func (v *streamVersions) unstored() map[string][]string {
	out := map[string][]string{}
	v.withLock(func(now time.Duration, t *streamversion.Tracker) {
		for service, versions := range t.History().Versions(now) {
			if !slices.Equal(versions, v.stored[service]) {
				out[service] = versions
			}
		}
	})
	return out
}

// write stores the versions of a service, unless another instance has done so.
func (v *streamVersions) write(ctx context.Context, service string, versions []string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	obj, err := v.g.opts.Store.Get(ctx, objectstore.KindSoftware, service)
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		return err
	}
	stored, err := decodeVersions(obj)
	if err != nil || !slices.Equal(stored, versions) {
		value, err := json.Marshal(storedVersions{versions})
		if err != nil {
			return err
		}
		if _, err := v.g.opts.Store.Put(ctx, objectstore.Object{Kind: objectstore.KindSoftware, Name: service, Version: obj.Version, Value: value}); err != nil {
			return err
		}
		v.g.log.Info("versions of a service stored", "service", service, "versions", versions)
	}
	v.withLock(func(time.Duration, *streamversion.Tracker) { v.stored[service] = versions })
	return nil
}
