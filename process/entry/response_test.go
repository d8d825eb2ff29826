package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/request/result"
)

// A plain service's status, Content-Type and Location must reach the caller unchanged. Losing them mislabels the content or breaks
// redirects.
func TestBuffered_KeepsHeadersOfTheResponse(t *testing.T) {
	for given, want := range map[string]string{"": "application/json", "text/csv": "text/csv"} {
		recorder := httptest.NewRecorder()
		b := &bufferedResponse{w: recorder, limit: 10}
		must.NoError(t, b.write([]byte("a,b")))
		b.finish(outcome{code: result.OK, status: http.StatusSeeOther, contentType: given, location: "/other"})
		must.Eq(t, http.StatusSeeOther, recorder.Code)
		must.Eq(t, want, recorder.Header().Get("Content-Type"))
		must.Eq(t, "/other", recorder.Header().Get("Location"))
		must.Eq(t, "a,b", recorder.Body.String())
	}
}
