package standin

import (
	"encoding/json"
	"io"
	"net/http"
)

const (
	pathFaults   = "/faults"
	pathDump     = "/dump"
	maxBodyBytes = 64 << 20
)

// withControl adds the endpoints for faults and the dump to an API. The faults
// don't affect these endpoints.
func withControl[F any](api http.Handler, apply func(F), dump func() any) *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("/", api)
	mux.HandleFunc("POST "+pathFaults, func(w http.ResponseWriter, r *http.Request) {
		var faults F
		if readJSON(w, r, &faults) {
			apply(faults)
		}
	})
	mux.HandleFunc("GET "+pathDump, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, dump()) })
	return mux
}

func decodeBody(r *http.Request, into any) error {
	return json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(into)
}

// readJSON decodes the body of r; on failure it answers 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := decodeBody(r, into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
