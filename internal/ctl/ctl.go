// Package ctl implements the commands of eelgrassctl. Operators check, apply,
// read and delete documents, issue and withdraw keys, query which versions are
// in force and why a request was refused, remove lost zones, and verify the
// service record. The commands use the platform's object API and instance list
// and collected log files; they do not connect to instances. Run executes one
// command and returns its exit code.
package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
)

// Globals are the options of all commands. They are declared once, as the parser's
// global group. Commands embed them with the tag no-flag: otherwise go-flags would
// declare them again for each command and reset them to the defaults.
type Globals struct {
	Platform string        `long:"platform" env:"EELGRASS_PLATFORM" value-name:"URL" description:"URL of the platform's object API" default:"http://127.0.0.1:7100"`
	Output   string        `long:"output" choice:"text" choice:"json" default:"text" description:"form of the output"`
	Timeout  time.Duration `long:"timeout" default:"10s" description:"bound of the whole command"`

	out io.Writer
}

// Errors of the commands.
var (
	// ErrConflict means that the document has changed since it was read.
	ErrConflict = errors.New("ctl: the document was changed in the meantime; get it again and repeat the edit")
	// ErrNoVersion means that an edit does not name the version it is based on.
	ErrNoVersion = errors.New("ctl: the file does not say which version it is based on: begin it with \"// version: N\", as get prints it, or give --if-version")
	// ErrNotFound means that the document, or what the command looks for in it
	// or in the service record, does not exist.
	ErrNotFound = errors.New("ctl: not found")
)

func (g *Globals) store() *objectstore.Client {
	return objectstore.NewClient(objectstore.ClientOptions{BaseURL: g.Platform, Timeout: g.Timeout})
}

func (g *Globals) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), g.Timeout)
}

// print writes v as JSON or text, as the option output selects.
func (g *Globals) print(v any, text string) error {
	if g.Output == "json" {
		enc := json.NewEncoder(g.out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	_, err := fmt.Fprintln(g.out, text)
	return err
}

// getDocument reads the document of a service. A deleted or missing one has an
// empty value and Deleted set; a missing one has version 0.
func getDocument(ctx context.Context, store objectstore.Store, service string) (objectstore.Object, error) {
	obj, err := store.Get(ctx, objectstore.KindService, service)
	if errors.Is(err, objectstore.ErrNotFound) {
		return objectstore.Object{Kind: objectstore.KindService, Name: service, Deleted: true}, nil
	}
	return obj, err
}

// putDocument stores a document if the stored version equals that of obj. After
// a lost reply it reads back to see whether the write took effect.
func putDocument(ctx context.Context, store objectstore.Store, obj objectstore.Object) (objectstore.Object, error) {
	stored, err := store.Put(ctx, obj)
	switch {
	case errors.Is(err, objectstore.ErrConflict):
		return stored, ErrConflict
	case errors.Is(err, objectstore.ErrOutcomeUnknown):
		return readBack(ctx, store, obj)
	}
	return stored, err
}

// readBack determines whether a write whose reply was lost took effect: it did
// if the stored value equals the written one and has a newer version.
func readBack(ctx context.Context, store objectstore.Store, obj objectstore.Object) (objectstore.Object, error) {
	stored, err := store.Get(ctx, obj.Kind, obj.Name)
	switch {
	case err != nil:
		return stored, fmt.Errorf("ctl: the reply was lost and so was the read after it; the edit may be in force: %w", err)
	case equalJSON(stored.Value, obj.Value) && stored.Version > obj.Version:
		return stored, nil
	case stored.Version == obj.Version:
		return stored, fmt.Errorf("ctl: the edit did not take effect: %w", objectstore.ErrUnavailable)
	}
	return stored, ErrConflict
}

// equalJSON reports whether a and b are valid JSON of the same value.
func equalJSON(a, b []byte) bool {
	var valueA, valueB any
	if json.Unmarshal(a, &valueA) != nil || json.Unmarshal(b, &valueB) != nil {
		return false
	}
	canonicalA, errA := json.Marshal(valueA)
	canonicalB, errB := json.Marshal(valueB)
	return errA == nil && errB == nil && string(canonicalA) == string(canonicalB)
}
