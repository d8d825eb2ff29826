package httpengine

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/connection/upstream"
	"github.com/jayridge/jayridge/internal/standin/earlyserver"
	"github.com/jayridge/jayridge/internal/standin/engine"
	"github.com/jayridge/jayridge/internal/standin/loopback"
	"github.com/jayridge/jayridge/internal/standin/service"
	"github.com/jayridge/jayridge/process/services"
)

// Guards against net/http retrying a call on a new connection when the upstream closes the reused connection after the call took effect.
func TestCall_NeverRepeated(t *testing.T) {
	for _, body := range []string{"", `{"id":"b-1"}`} {
		var calls atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if calls.Add(1) > 1 {
				panic(http.ErrAbortHandler)
			}
		}))
		client := New(Config{URL: server.URL})
		call := services.CallRequest{Method: http.MethodPost, Path: "/bookings", Body: []byte(body), IdempotencyKey: "k"}
		_, err := client.Call(context.Background(), call)
		must.NoError(t, err)
		_, err = client.Call(context.Background(), call)
		must.Error(t, err)
		must.False(t, errors.Is(err, services.ErrUnavailable))
		must.Eq(t, 2, calls.Load())
		server.Close()
	}
}

// An unreachable upstream must be reported as unavailable, and an upstream that may have run the call must not.
func TestCall_UnavailableOnlyBeforeSend(t *testing.T) {
	standin := service.New()
	server := httptest.NewServer(standin)
	client := New(Config{URL: server.URL})
	var sent bool
	call := services.CallRequest{Method: http.MethodPost, Path: "/bookings", Body: []byte(`{"id":"b-1"}`), OnSend: func() { sent = true }}
	standin.SetFaults(service.Faults{DropAnswers: 1})
	_, err := client.Call(context.Background(), call)
	must.Error(t, err)
	must.False(t, errors.Is(err, services.ErrUnavailable))
	must.True(t, sent)
	must.Eq(t, 1, standin.Counters().Effects["b-1"])
	server.Close()
	sent = false
	_, err = client.Call(context.Background(), call)
	must.ErrorIs(t, err, services.ErrUnavailable)
	must.False(t, sent)
}

// Guards against following redirects: the call has taken effect, and an unreachable redirect target would make it look not sent.
func TestCall_RedirectIsTheAnswer(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Content-Type", r.Header.Get("Content-Type"))
		w.Header().Set("Location", "http://"+loopback.UnusedAddress()+"/elsewhere")
		w.WriteHeader(http.StatusSeeOther)
		_, _ = w.Write(body)
	}))
	defer server.Close()
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		response, err := New(Config{URL: server.URL}).Call(t.Context(), services.CallRequest{Method: method, Path: "/bookings", ContentType: "text/csv", Body: []byte("a,b")})
		must.NoError(t, err)
		must.Eq(t, http.StatusSeeOther, response.Status)
		must.Eq(t, "text/csv", response.ContentType)
		must.Eq(t, "a,b", string(response.Body))
		must.StrHasSuffix(t, "/elsewhere", response.Location)
	}
}

// Guards against a response without a length passing as complete although its connection was reset while the request was being written. Which of a
// read and a write meets the reset is a matter of chance, hence the number of calls.
func TestCall_ResetDuringUpload(t *testing.T) {
	const calls = 64
	body := make([]byte, 8<<20) // does not fit into the buffers of the sockets
	for name, c := range map[string]struct {
		end      func(*net.TCPConn)
		complete int32
	}{
		"reset": {earlyserver.Reset, 0}, "closed with unread bytes": {earlyserver.CloseUnread, 0}, "orderly end": {earlyserver.EndThenReset, calls},
	} {
		t.Run(name, func(t *testing.T) {
			server, err := earlyserver.Start(func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\nthe first part" }, c.end)
			must.NoError(t, err)
			defer server.Listener().Close() //nolint:errcheck // ends with the test
			client := New(Config{URL: "http://" + server.Listener().Addr().String()})
			var complete atomic.Int32
			var callers sync.WaitGroup
			for range 4 {
				callers.Go(func() {
					for range calls / 4 {
						if _, err := client.Call(t.Context(), services.CallRequest{Method: http.MethodPost, Path: "/bookings", Body: body}); err == nil {
							complete.Add(1)
						}
					}
				})
			}
			callers.Wait()
			must.EqOp(t, c.complete, complete.Load())
		})
	}
}

// Guards against a response whose status is none of HTTP passing as an answer.
func TestCall_InvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			server, err := earlyserver.Start(func(*http.Request) string { return "HTTP/1.1 " + status + " X\r\nContent-Length: 6\r\n\r\nbroken" }, earlyserver.Reset)
			must.NoError(t, err)
			defer server.Listener().Close() //nolint:errcheck // ends with the test
			client := New(Config{URL: "http://" + server.Listener().Addr().String()})
			var sent bool
			_, err = client.Call(t.Context(), services.CallRequest{Method: http.MethodPost, Path: "/bookings", OnSend: func() { sent = true }})
			must.ErrorIs(t, err, upstream.ErrInvalidStatus)
			must.False(t, errors.Is(err, services.ErrUnavailable))
			must.True(t, sent)
			_, err = client.Generate(t.Context(), services.GenerateRequest{ID: "g"})
			must.ErrorIs(t, err, upstream.ErrInvalidStatus)
		})
	}
}

// A truncated generation must not be reported as complete, and a generation that the engine does not know must not be resumed.
func TestGenerate_EndsOnlyWhenDone(t *testing.T) {
	standin := engine.New(engine.Config{})
	server := httptest.NewServer(standin)
	defer server.Close()
	client := New(Config{URL: server.URL})
	request := services.GenerateRequest{ID: "g", Body: []byte(`{"max_tokens": 5}`)}
	parts, err := readAll(t, client, request)
	must.ErrorIs(t, err, io.EOF)
	must.Eq(t, engine.ExpectedAnswer(request.Body), parts)

	standin.SetFaults(engine.Faults{TruncateAfter: 3})
	parts, err = readAll(t, client, request)
	must.Len(t, 3, parts)
	must.False(t, errors.Is(err, io.EOF), must.Sprint(err))

	request.Offset = 2
	standin.SetFaults(engine.Faults{})
	parts, err = readAll(t, client, request)
	must.ErrorIs(t, err, io.EOF)
	must.Eq(t, engine.ExpectedAnswer(request.Body)[2:], parts)

	request.ID = "unknown generation"
	_, err = client.Generate(context.Background(), request)
	var status *services.StatusError
	must.True(t, errors.As(err, &status))
}

func readAll(t *testing.T, client *Client, request services.GenerateRequest) ([]string, error) {
	stream, err := client.Generate(context.Background(), request)
	must.NoError(t, err)
	defer stream.Close()
	var parts []string
	for {
		part, err := stream.Next()
		if err != nil {
			return parts, err
		}
		parts = append(parts, string(part))
	}
}
