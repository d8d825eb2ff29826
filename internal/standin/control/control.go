// Package control has the HTTP handlers that all stand-ins share: faults that a test switches on, and answers in JSON.
package control

import (
	"encoding/json"
	"net/http"
)

// WriteJSON answers with v as JSON.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Faults returns the handler of POST /faults, which replaces the faults by those in the body.
func Faults[T any](set func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var faults T
		if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(faults)
	}
}
