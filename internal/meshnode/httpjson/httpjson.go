// Package httpjson holds what every HTTP server and client of the project does
// alike: JSON bodies with a size limit, typed errors and Retry-After.
package httpjson

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/sliplift/sliplift/internal/api"
)

// DefaultBodyLimit bounds a request body in bytes where a server sets no other.
const DefaultBodyLimit = 8 << 20

const millisecondsPerSecond = 1000

// Write sends value as JSON with the status.
func Write(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failure here means that the client went away; nobody is left to tell.
	_ = json.NewEncoder(w).Encode(value)
}

// WriteError sends e with its status and, where coming back helps, a
// Retry-After header in whole seconds, rounded up.
func WriteError(w http.ResponseWriter, e *api.Error) {
	if e.RetryAfterMS > 0 {
		seconds := (e.RetryAfterMS + millisecondsPerSecond - 1) / millisecondsPerSecond
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	status := e.Status
	if status == 0 {
		status = http.StatusInternalServerError
	}
	Write(w, status, e)
}

// Read decodes the request's body, of at most limit bytes, into value. Unknown
// fields and anything behind the first JSON value are refused.
func Read(w http.ResponseWriter, r *http.Request, limit int64, value any) *api.Error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return bodyError(err, limit)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return api.Refusal(http.StatusBadRequest, api.CodeMalformed, 0, "body: data after the JSON value")
	}
	return nil
}

func bodyError(err error, limit int64) *api.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return api.Refusal(http.StatusRequestEntityTooLarge, api.CodeTooLarge, 0, "body: over %d bytes", limit)
	}
	return api.Refusal(http.StatusBadRequest, api.CodeMalformed, 0, "body: %v", err)
}
