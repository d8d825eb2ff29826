package test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/jayridge/jayridge/internal/standin/kv"
	"github.com/jayridge/jayridge/version/rollout"
)

// heldWrite delays the first write that advances a shift on its way to the platform.
type heldWrite struct {
	once sync.Once
	// arrived receives the record of the delayed write, and status the platform's HTTP status for it once release is closed.
	arrived chan rollout.Record
	release chan struct{}
	status  chan int
}

func newHeldWrite(t *testing.T) (hold *heldWrite, release func()) {
	hold = &heldWrite{arrived: make(chan rollout.Record, 1), release: make(chan struct{}), status: make(chan int, 1)}
	release = sync.OnceFunc(func() { close(hold.release) })
	t.Cleanup(release)
	return hold, release
}

// serve passes a write on to next; the delayed one only once it is released.
func (h *heldWrite) serve(next http.Handler, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	record, first := decodeAdvance(body), false
	if record.ID != "" {
		h.once.Do(func() { first = true })
	}
	if !first {
		next.ServeHTTP(w, r)
		return
	}
	h.arrived <- record
	<-h.release
	answer := httptest.NewRecorder()
	next.ServeHTTP(answer, r)
	h.status <- answer.Code
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// decodeAdvance returns the shift record in the body of a write, or the zero Record if the body has none.
func decodeAdvance(body []byte) rollout.Record {
	var put kv.PutRequest
	if json.Unmarshal(body, &put) != nil {
		return rollout.Record{}
	}
	r, err := rollout.DecodeRecord(put.Value)
	if err != nil || put.Key != rollout.RecordKey(r.ID) {
		return rollout.Record{}
	}
	return r
}
