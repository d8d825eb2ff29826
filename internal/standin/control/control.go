// Package control has the HTTP handlers that all stand-ins share: faults that a test switches on, and answers in JSON.
package control

import (
	"encoding/json"
	"net/http"
)

// WriteJSON answers with v as JSON.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A failure means that the client has gone; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(v)
}

// Faults returns the handler of POST /faults, which replaces the faults by those in the body. It refuses names of faults that the stand-in
// does not have.
func Faults[T any](set func(T)) http.HandlerFunc {
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
