// Package control provides the HTTP helpers that all stand-ins share: the handler that configures fault injection, JSON responses and
// blocking of requests.
package control

import (
	"encoding/json"
	"net/http"
)

// WriteJSON writes v to the response as JSON.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The error is ignored: it means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

// FaultsHandler returns the handler of POST /faults, which replaces the injected faults by those in the request body. It rejects unknown
// fault names with status 400.
func FaultsHandler[T any](set func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var faults T
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(faults)
	}
}
