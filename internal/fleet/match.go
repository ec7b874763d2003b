package fleet

import (
	"fmt"
	"strings"
)

// normalHost returns the host that a Host header names, in the form in which equivalent ones
// are equal: without a port and the dot of the root, in lower case (RFC 9110, 4.2.3).
func normalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// normalPath returns a path in the form in which equivalent ones are equal (RFC 3986, 6.2.2):
// characters that need no escape are not escaped, those that need one are, as in a prefix that
// is written without escapes, and escapes are in upper case. An escaped slash stays escaped.
func normalPath(path string) string {
	if strings.IndexFunc(path, func(r rune) bool { return r == '%' || needsEscape(r) }) < 0 {
		return path
	}
	var b strings.Builder
	for i := 0; i < len(path); i++ {
		c, escaped := path[i], false
		if c == '%' && i+2 < len(path) {
			if decoded, ok := unhex(path[i+1], path[i+2]); ok {
				c, escaped = decoded, true
				i += 2
			}
		}
		if escaped && !isUnreserved(c) || needsEscape(rune(c)) {
			fmt.Fprintf(&b, "%%%02X", c)
		} else {
			b.WriteByte(c)
		}
	}
	return b.String()
}

// needsEscape reports whether a path can have the character in an escape only.
func needsEscape(r rune) bool { return r <= ' ' || r >= 0x7f }

func unhex(high, low byte) (byte, bool) {
	h, okHigh := hexDigit(high)
	l, okLow := hexDigit(low)
	return h<<4 | l, okHigh && okLow
}

func hexDigit(c byte) (byte, bool) {
	switch {
	case '0' <= c && c <= '9':
		return c - '0', true
	case 'a' <= c && c <= 'f':
		return c - 'a' + 10, true
	case 'A' <= c && c <= 'F':
		return c - 'A' + 10, true
	}
	return 0, false
}

func isUnreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("-._~", c) >= 0
}
