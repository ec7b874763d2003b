package upstream

import (
	"bytes"
	"net/http"
	"net/textproto"
	"strings"
)

// withheld are headers that never pass to an upstream: those of one
// connection, and those that carry credentials.
var withheld = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Authorization": true, "X-Api-Key": true, "Api-Key": true, "Cookie": true, "Content-Length": true,
	"Expect": true, "X-Attempt-Id": true, "X-Stream-Offset": true, "X-Priority": true, "X-Flow": true,
}

// CleanHeader returns the headers of a caller's request that an upstream may
// see. A header with the key's secret in its value is left out too.
func CleanHeader(in http.Header, secret string) http.Header {
	named := map[string]bool{}
	for _, v := range in.Values("Connection") {
		for _, name := range strings.Split(v, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	out := http.Header{}
	for name, values := range in {
		if withheld[name] || named[name] || containsSecret(values, secret) {
			continue
		}
		out[name] = values
	}
	return out
}

func containsSecret(values []string, secret string) bool {
	for _, v := range values {
		if secret != "" && strings.Contains(v, secret) {
			return true
		}
	}
	return false
}

// Leaks reports whether a URL or body holds the key's secret.
func Leaks(url string, body []byte, secret string) bool {
	return secret != "" && (strings.Contains(url, secret) || bytes.Contains(body, []byte(secret)))
}

// CopyAnswerHeader copies the headers of an upstream's answer that a caller
// may see.
func CopyAnswerHeader(out, in http.Header) {
	for name, values := range in {
		if withheld[name] || name == "Set-Cookie" {
			continue
		}
		out[name] = values
	}
}
