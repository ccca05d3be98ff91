package standin

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/boragelock/boragelock/provider"
)

const outcomeNotRun = "not_run"

// writeJSON responds with status 200 and a JSON body.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// refuse responds to a request that had no effect.
func refuse(w http.ResponseWriter, status int, code string) {
	w.Header().Set(provider.HeaderOutcome, outcomeNotRun)
	w.Header().Set(provider.HeaderCode, code)
	http.Error(w, code, status)
}

// cutConnection closes the connection without a response.
func cutConnection(w http.ResponseWriter) {
	hj, ok := w.(http.Hijacker)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	c, _, err := hj.Hijack()
	if err == nil {
		_ = c.Close()
	}
}

// serveUpdate serves GET and POST of a JSON value. It decodes the body of a POST
// over the current value, so that a body names only the fields that change.
func serveUpdate[T any](w http.ResponseWriter, r *http.Request, get func() T, set func(T)) {
	v := get()
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
		if err == nil {
			err = json.Unmarshal(body, &v)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(v)
	}
	writeJSON(w, get())
}
