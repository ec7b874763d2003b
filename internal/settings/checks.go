package settings

// Checks collects the first failed check of a decoded source.
type Checks struct {
	src *Source
	err error
}

// NewChecks returns checks that report errors by the positions in src.
func NewChecks(src *Source) *Checks { return &Checks{src: src} }

// Want records an error for field unless ok; the first one is kept.
func (c *Checks) Want(ok bool, field, format string, args ...any) {
	if !ok && c.err == nil {
		c.err = c.src.Errorf(field, format, args...)
	}
}

// Err returns the first failed check, a *FieldError, or nil.
func (c *Checks) Err() error { return c.err }
