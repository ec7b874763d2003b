package settings

// Checks records the first failed check of a decoded source.
type Checks struct {
	src *Source
	err error
}

// NewChecks returns checks whose errors state positions in src.
func NewChecks(src *Source) *Checks { return &Checks{src: src} }

// Require records an error for field unless ok is true or an error is recorded
// already. See Source.Errorf for the path in field.
func (c *Checks) Require(ok bool, field, format string, args ...any) {
	if !ok && c.err == nil {
		c.err = c.src.Errorf(field, format, args...)
	}
}

// Err returns the error of the first failed check, a *FieldError, or nil.
func (c *Checks) Err() error { return c.err }
