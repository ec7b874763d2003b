// Package reply writes the JSON responses of the stand-ins. Error responses have
// one common body; NotExecuted marks those to requests that were not executed.
package reply

import (
	"encoding/json"
	"net/http"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
)

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the error code and message of an ErrorBody.
type ErrorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// JSON writes v as JSON with an HTTP status.
func JSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetEscapeHTML(false)
	// An error here means that the connection failed, so it cannot be reported
	// to the client.
	_ = enc.Encode(v)
}

// Error writes an error response.
func Error(w http.ResponseWriter, status int, code, message string) {
	JSON(w, status, ErrorBody{Error: ErrorDetail{Code: code, Message: message}})
}

// NotExecuted writes an error response to a request that was not executed, and says
// so in the header engine.HeaderExecuted.
func NotExecuted(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set(engine.HeaderExecuted, engine.ExecutedNo)
	Error(w, status, code, message)
}
