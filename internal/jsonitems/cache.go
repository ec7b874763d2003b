package jsonitems

// Cache keeps the decoded items of the newest version of a document by their bytes. Its zero
// value is empty. Values are shared by versions and must not be changed.
type Cache[T any] struct{ kept map[string]entry[T] }

type entry[T any] struct {
	raw   string
	value T
}

// Decode returns the decoded items. An item with the bytes of one of the version before is
// taken over, the others are decoded. failed is called with each item that cannot be decoded,
// which is left out.
func (c *Cache[T]) Decode(items [][]byte, decode func([]byte) (T, error), failed func(raw []byte, err error)) (out []T, decoded int) {
	kept := make(map[string]entry[T], len(items))
	out = make([]T, 0, len(items))
	for _, raw := range items {
		e, ok := c.kept[string(raw)]
		if !ok {
			decoded++
			value, err := decode(raw)
			if err != nil {
				failed(raw, err)
				continue
			}
			e = entry[T]{string(raw), value}
		}
		kept[e.raw] = e
		out = append(out, e.value)
	}
	c.kept = kept
	return out, decoded
}
