package standin

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/boragelock/boragelock/provider"
)

const outcomeNotRun = "not_run"

// writeJSON answers 200 with a JSON body.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// refuse answers a request that had no effect.
func refuse(w http.ResponseWriter, status int, code string) {
	w.Header().Set(provider.HeaderOutcome, outcomeNotRun)
	w.Header().Set(provider.HeaderCode, code)
	http.Error(w, code, status)
}

// cutConnection closes the connection without an answer.
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

// update decodes a JSON body over the present value of a switch set, so that a
// body names only what changes.
func update[T any](w http.ResponseWriter, r *http.Request, get func() T, set func(T)) {
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
