// Package ctl holds the commands of eelgrassctl: operators check, apply, read
// and delete documents, issue and withdraw keys, ask what is in force and why a
// request was refused, and verify the service record. It speaks to the object
// API only; Run returns the exit code.
package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/platform"
)

// Globals are the options of all commands. They are options of the parser
// alone: a command embeds them with the tag no-flag, or its own copies would
// put the defaults back.
type Globals struct {
	Platform string        `long:"platform" env:"EELGRASS_PLATFORM" value-name:"URL" description:"URL of the platform's object API" default:"http://127.0.0.1:7100"`
	Output   string        `long:"output" choice:"text" choice:"json" default:"text" description:"form of the output"`
	Timeout  time.Duration `long:"timeout" default:"10s" description:"bound of the whole command"`

	out io.Writer
}

// Errors of the commands.
var (
	// ErrConflict means that the document was changed since it was read.
	ErrConflict = errors.New("ctl: the document was changed in the meantime; get it again and repeat the edit")
	// ErrNoVersion means that an edit does not say what it is based on.
	ErrNoVersion = errors.New("ctl: the file does not say which version it is based on: begin it with \"// version: N\", as get prints it, or give --if-version")
	// ErrNotFound means that there is no such document.
	ErrNotFound = errors.New("ctl: not found")
)

func (g *Globals) store() *platform.Client {
	return platform.NewClient(platform.ClientOptions{BaseURL: g.Platform, Timeout: g.Timeout})
}

func (g *Globals) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), g.Timeout)
}

// print writes v as JSON, or text for people.
func (g *Globals) print(v any, text string) error {
	if g.Output == "json" {
		enc := json.NewEncoder(g.out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	_, err := fmt.Fprintln(g.out, text)
	return err
}

// current reads a document; a deleted or missing one has an empty value.
func current(ctx context.Context, store platform.Store, service string) (platform.Object, error) {
	obj, err := store.Get(ctx, platform.KindService, service)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Object{Kind: platform.KindService, Name: service, Deleted: true}, nil
	}
	return obj, err
}

// write stores a document if its version is still the one given. A lost reply
// is resolved by reading back.
func write(ctx context.Context, store platform.Store, obj platform.Object) (platform.Object, error) {
	stored, err := store.Put(ctx, obj)
	switch {
	case errors.Is(err, platform.ErrConflict):
		return stored, ErrConflict
	case errors.Is(err, platform.ErrOutcomeUnknown):
		return readBack(ctx, store, obj)
	}
	return stored, err
}

// readBack finds out whether a write whose reply was lost took effect: it did
// if the value stored now is the one written.
func readBack(ctx context.Context, store platform.Store, obj platform.Object) (platform.Object, error) {
	stored, err := store.Get(ctx, obj.Kind, obj.Name)
	switch {
	case err != nil:
		return stored, fmt.Errorf("ctl: the reply was lost and so was the read after it; the edit may be in force: %w", err)
	case sameJSON(stored.Value, obj.Value) && stored.Version > obj.Version:
		return stored, nil
	case stored.Version == obj.Version:
		return stored, fmt.Errorf("ctl: the edit did not take effect: %w", platform.ErrUnavailable)
	}
	return stored, ErrConflict
}

func sameJSON(a, b []byte) bool {
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	ca, errA := json.Marshal(x)
	cb, errB := json.Marshal(y)
	return errA == nil && errB == nil && string(ca) == string(cb)
}
