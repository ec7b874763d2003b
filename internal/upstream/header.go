package upstream

import (
	"bytes"
	"net/http"
	"net/textproto"
	"strings"
)

// removedHeaders are the headers that are never forwarded: those of a single
// connection (hop-by-hop), those that carry credentials, and those of the engine
// interface.
var removedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Authorization": true, "X-Api-Key": true, "Api-Key": true, "Cookie": true, "Content-Length": true,
	"Expect": true, "X-Attempt-Id": true, "X-Stream-Offset": true, "X-Priority": true, "X-Flow": true,
}

// CleanHeader returns the headers of a caller's request that may be forwarded to
// an upstream. It also removes headers whose value contains secret, the secret
// part of the caller's API key.
func CleanHeader(in http.Header, secret string) http.Header {
	connectionHeaders := map[string]bool{}
	for _, v := range in.Values("Connection") {
		for _, name := range strings.Split(v, ",") {
			connectionHeaders[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	out := http.Header{}
	for name, values := range in {
		if removedHeaders[name] || connectionHeaders[name] || containsSecret(values, secret) {
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

// ContainsSecret reports whether a URL or body contains the secret part of the
// caller's API key.
func ContainsSecret(url string, body []byte, secret string) bool {
	return secret != "" && (strings.Contains(url, secret) || bytes.Contains(body, []byte(secret)))
}

// CopyResponseHeader copies the headers of an upstream's answer that may be
// forwarded to the caller.
func CopyResponseHeader(out, in http.Header) {
	for name, values := range in {
		if removedHeaders[name] || name == "Set-Cookie" {
			continue
		}
		out[name] = values
	}
}
