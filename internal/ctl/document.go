package ctl

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"regexp"
	"strconv"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/settings"
)

// fileArgs is the positional argument of a command on a document's file.
type fileArgs struct {
	File string `positional-arg-name:"FILE" required:"yes"`
}

// serviceArgs is the positional argument of a command on a service.
type serviceArgs struct {
	Service string `positional-arg-name:"SERVICE" required:"yes"`
}

// Check validates a document without storing it.
type Check struct {
	*Globals `no-flag:"true"`
	Args     fileArgs `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *Check) Execute([]string) error {
	doc, _, err := loadDocument(c.Args.File)
	if err != nil {
		return err
	}
	return c.print(doc, fmt.Sprintf("%s: service %s: %d models, %d upstreams, %d organisations, %d routes: good",
		c.Args.File, doc.Service, len(doc.Models), len(doc.Upstreams), len(doc.Organisations), len(doc.Routes)))
}

// loadDocument reads and validates a document. raw is the JSON that is stored.
func loadDocument(file string) (doc *config.Service, raw []byte, err error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, fmt.Errorf("ctl: %w", err)
	}
	doc, err = config.Parse(file, src)
	if err != nil {
		return nil, nil, err
	}
	parsed, err := settings.Parse(file, src)
	if err != nil {
		return nil, nil, err
	}
	return doc, parsed.JSON(), nil
}

// Apply validates a document and stores it if the version that it is based on is
// still the stored one.
type Apply struct {
	*Globals  `no-flag:"true"`
	IfVersion *uint64  `long:"if-version" value-name:"N" description:"version that the edit is based on; 0 for a new document"`
	Args      fileArgs `positional-args:"yes"`
}

// versionLine matches the comment that names the version of a document, as Get
// prints it.
var versionLine = regexp.MustCompile(`(?m)^\s*// version: (\d+)\s*$`)

// Execute implements flags.Commander.
func (c *Apply) Execute([]string) error {
	doc, raw, err := loadDocument(c.Args.File)
	if err != nil {
		return err
	}
	ctx, cancel := c.context()
	defer cancel()
	store := c.store()
	stored, err := getDocument(ctx, store, doc.Service)
	if err != nil {
		return err
	}
	base, err := c.base(stored)
	if err != nil {
		return err
	}
	written, err := putDocument(ctx, store, objectstore.Object{Kind: objectstore.KindService, Name: doc.Service, Version: base, Value: raw})
	if err != nil {
		return err
	}
	return c.print(written, fmt.Sprintf("service %s: version %d stored", doc.Service, written.Version))
}

// base returns the version that the edit is based on. It must be given unless the
// service has no document.
func (c *Apply) base(stored objectstore.Object) (uint64, error) {
	if c.IfVersion != nil {
		return *c.IfVersion, nil
	}
	if stored.Deleted {
		return stored.Version, nil
	}
	src, err := os.ReadFile(c.Args.File)
	if err != nil {
		return 0, fmt.Errorf("ctl: %w", err)
	}
	if m := versionLine.FindSubmatch(src); m != nil {
		return strconv.ParseUint(string(m[1]), 10, 64)
	}
	return 0, ErrNoVersion
}

// Get prints the stored document of a service in the format that Apply reads.
type Get struct {
	*Globals `no-flag:"true"`
	Args     serviceArgs `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *Get) Execute([]string) error {
	ctx, cancel := c.context()
	defer cancel()
	obj, err := getDocument(ctx, c.store(), c.Args.Service)
	if err != nil {
		return err
	}
	if obj.Deleted {
		return fmt.Errorf("%w: service %s", ErrNotFound, c.Args.Service)
	}
	var text bytes.Buffer
	fmt.Fprintf(&text, "// version: %d\n", obj.Version)
	if err := json.Indent(&text, obj.Value, "", "  "); err != nil {
		return fmt.Errorf("ctl: stored document: %w", err)
	}
	return c.print(obj, text.String())
}

// Delete deletes the document of a service. Instances then stop serving the
// service.
type Delete struct {
	*Globals  `no-flag:"true"`
	IfVersion uint64      `long:"if-version" value-name:"N" required:"yes" description:"version that is to be deleted"`
	Args      serviceArgs `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *Delete) Execute([]string) error {
	ctx, cancel := c.context()
	defer cancel()
	store := c.store()
	tombstone, err := store.Delete(ctx, objectstore.KindService, c.Args.Service, c.IfVersion)
	if errors.Is(err, objectstore.ErrOutcomeUnknown) {
		tombstone, err = store.Get(ctx, objectstore.KindService, c.Args.Service)
		if err == nil && !tombstone.Deleted {
			err = ErrConflict
		}
	}
	if errors.Is(err, objectstore.ErrConflict) {
		err = ErrConflict
	}
	if err != nil {
		return err
	}
	return c.print(tombstone, fmt.Sprintf("service %s: deleted as version %d", c.Args.Service, tombstone.Version))
}
