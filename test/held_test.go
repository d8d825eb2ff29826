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

// heldWrite is the first write of a process that advances a shift; it is held back on its way to the platform.
type heldWrite struct {
	once             sync.Once
	arrived, release chan struct{}
	status           chan int
}

func newHeldWrite(t *testing.T) (hold *heldWrite, release func()) {
	hold = &heldWrite{arrived: make(chan struct{}), release: make(chan struct{}), status: make(chan int, 1)}
	release = sync.OnceFunc(func() { close(hold.release) })
	t.Cleanup(release)
	return hold, release
}

// serve passes a write on, the held one once it is released.
func (h *heldWrite) serve(next http.Handler, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if !advances(body) {
		next.ServeHTTP(w, r)
		return
	}
	first := false
	h.once.Do(func() { first = true })
	if !first {
		next.ServeHTTP(w, r)
		return
	}
	close(h.arrived)
	<-h.release
	answer := httptest.NewRecorder()
	next.ServeHTTP(answer, r)
	h.status <- answer.Code
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// advances reports whether the body of a write is a record beyond the first share.
func advances(body []byte) bool {
	var put kv.PutRequest
	if json.Unmarshal(body, &put) != nil {
		return false
	}
	r, err := rollout.DecodeRecord(put.Value)
	return err == nil && put.Key == rollout.RecordKey(r.ID) && r.Step > 0
}
