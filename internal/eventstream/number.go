package eventstream

import (
	"bytes"
	"math"
	"math/big"
)

// number is the decimal number of an event, of any length.
type number struct {
	known bool
	value big.Int
}

// maxShortDigits is the number of digits that fit into 64 bits, whatever they are.
const maxShortDigits = 18

// parse sets n to the number in an event's ID. n is unknown if the ID is none.
func (n *number) parse(id []byte) {
	digits := bytes.TrimPrefix(id, []byte("-"))
	n.known = len(digits) > 0
	short := int64(0)
	for i, c := range digits {
		if c < '0' || c > '9' {
			n.known = false
			return
		}
		if i < maxShortDigits {
			short = 10*short + int64(c-'0')
		}
	}
	if len(digits) > maxShortDigits {
		n.value.SetString(string(id), 10)
		return
	}
	n.value.SetInt64(short)
	if len(digits) < len(id) {
		n.value.Neg(&n.value)
	}
}

func (n *number) set(from *number) {
	n.known = from.known
	n.value.Set(&from.value)
}

// cmp returns -1, 0 or 1 for a number below, at or above another one. Both must be known.
func (n *number) cmp(other *number) int { return n.value.Cmp(&other.value) }

// above returns how far n lies above another number, math.MaxUint64 for more than that. The
// difference is left in scratch.
func (n *number) above(other *number, scratch *big.Int) uint64 {
	if scratch.Sub(&n.value, &other.value); !scratch.IsUint64() {
		return math.MaxUint64
	}
	return scratch.Uint64()
}
