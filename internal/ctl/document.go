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
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/eelgrassbay/eelgrassbay/internal/settings"
)

// fileArgument is a document's file.
type fileArgument struct {
	File string `positional-arg-name:"FILE" required:"yes"`
}

// serviceArgument names a service.
type serviceArgument struct {
	Service string `positional-arg-name:"SERVICE" required:"yes"`
}

// Check checks a document without storing it.
type Check struct {
	*Globals `no-flag:"true"`
	Args     fileArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *Check) Execute([]string) error {
	doc, _, err := load(c.Args.File)
	if err != nil {
		return err
	}
	return c.print(doc, fmt.Sprintf("%s: service %s: %d models, %d upstreams, %d organisations, %d routes: good",
		c.Args.File, doc.Service, len(doc.Models), len(doc.Upstreams), len(doc.Organisations), len(doc.Routes)))
}

// load reads and checks a document; raw is what is stored of it.
func load(file string) (doc *config.Service, raw []byte, err error) {
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

// Apply stores a document.
type Apply struct {
	*Globals  `no-flag:"true"`
	IfVersion *uint64      `long:"if-version" value-name:"N" description:"version that the edit is based on; 0 for a new document"`
	Args      fileArgument `positional-args:"yes"`
}

var versionLine = regexp.MustCompile(`(?m)^\s*// version: (\d+)\s*$`)

// Execute implements flags.Commander.
func (c *Apply) Execute([]string) error {
	doc, raw, err := load(c.Args.File)
	if err != nil {
		return err
	}
	ctx, cancel := c.context()
	defer cancel()
	store := c.store()
	now, err := current(ctx, store, doc.Service)
	if err != nil {
		return err
	}
	base, err := c.base(now)
	if err != nil {
		return err
	}
	stored, err := write(ctx, store, platform.Object{Kind: platform.KindService, Name: doc.Service, Version: base, Value: raw})
	if err != nil {
		return err
	}
	return c.print(stored, fmt.Sprintf("service %s: version %d stored", doc.Service, stored.Version))
}

// base returns the version that the edit is based on. Only the first document
// of a service needs none.
func (c *Apply) base(now platform.Object) (uint64, error) {
	if c.IfVersion != nil {
		return *c.IfVersion, nil
	}
	if now.Deleted {
		return now.Version, nil
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

// Get prints a document in the form that apply takes.
type Get struct {
	*Globals `no-flag:"true"`
	Args     serviceArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *Get) Execute([]string) error {
	ctx, cancel := c.context()
	defer cancel()
	obj, err := current(ctx, c.store(), c.Args.Service)
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

// Delete removes a document; instances stop serving the service.
type Delete struct {
	*Globals  `no-flag:"true"`
	IfVersion uint64          `long:"if-version" value-name:"N" required:"yes" description:"version that is to be deleted"`
	Args      serviceArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *Delete) Execute([]string) error {
	ctx, cancel := c.context()
	defer cancel()
	store := c.store()
	gone, err := store.Delete(ctx, platform.KindService, c.Args.Service, c.IfVersion)
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		gone, err = store.Get(ctx, platform.KindService, c.Args.Service)
		if err == nil && !gone.Deleted {
			err = ErrConflict
		}
	}
	if errors.Is(err, platform.ErrConflict) {
		err = ErrConflict
	}
	if err != nil {
		return err
	}
	return c.print(gone, fmt.Sprintf("service %s: deleted as version %d", c.Args.Service, gone.Version))
}
