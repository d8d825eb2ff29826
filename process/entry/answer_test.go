package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/request/result"
)

// Guards against a plain service's answer that reaches the caller as another type of content, or a redirect without its target.
func TestBuffered_KeepsHeadersOfTheAnswer(t *testing.T) {
	for given, want := range map[string]string{"": "application/json", "text/csv": "text/csv"} {
		recorder := httptest.NewRecorder()
		b := &buffered{w: recorder, limit: 10}
		must.NoError(t, b.write([]byte("a,b")))
		b.finish(outcome{code: result.OK, status: http.StatusSeeOther, contentType: given, location: "/other"})
		must.Eq(t, http.StatusSeeOther, recorder.Code)
		must.Eq(t, want, recorder.Header().Get("Content-Type"))
		must.Eq(t, "/other", recorder.Header().Get("Location"))
		must.Eq(t, "a,b", recorder.Body.String())
	}
}
