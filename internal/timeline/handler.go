package timeline

import (
	"encoding/json"
	"net/http"
)

// Handler serves the events of the ring as a List in JSON. The query parameters
// are those of ParseFilter.
func Handler(ring *Ring) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			w.Header().Set("Allow", http.MethodGet)
			http.Error(w, "only GET is allowed", http.StatusMethodNotAllowed)
			return
		}
		filter, err := ParseFilter(r.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// An error here means that the client has closed the connection.
		_ = json.NewEncoder(w).Encode(ring.Select(filter))
	})
}
