// Package reply writes the JSON answers of the stand-ins.
package reply

import (
	"encoding/json"
	"net/http"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
)

// Failure is the body of an error answer.
type Failure struct {
	Error Detail `json:"error"`
}

// Detail says what went wrong.
type Detail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// JSON writes v with a status.
func JSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetEscapeHTML(false)
	// The connection is all that could fail here, and nobody is left to tell.
	_ = enc.Encode(v)
}

// Error writes an error answer.
func Error(w http.ResponseWriter, status int, code, message string) {
	JSON(w, status, Failure{Error: Detail{Code: code, Message: message}})
}

// NotRun writes an error answer to a request that did not start.
func NotRun(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set(engine.HeaderRan, engine.RanNo)
	Error(w, status, code, message)
}
