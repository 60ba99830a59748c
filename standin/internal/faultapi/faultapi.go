// Package faultapi serves the injected faults of a stand-in over HTTP.
package faultapi

import (
	"encoding/json"
	"net/http"
)

// Handler responds with the faults in JSON. A PUT replaces them first.
func Handler[F any](get func() F, set func(F)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			var f F
			if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			set(f)
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(get()) // Encode fails only if the client has disconnected.
	}
}
