package sidecar

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/connection/link"
	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/process/settings"
)

// claimWriter is a fake peer. The first byte of a batch selects its response: append, refuse, outcome unknown, or break the
// connection.
type claimWriter struct{}

func (claimWriter) HandleOpen(context.Context, *link.Conn, *wire.Open, *link.Responder) {}
func (claimWriter) HandleClose(*link.Conn, error)                                       {}

func (claimWriter) HandleControl(c *link.Conn, m wire.Message) {
	claims, ok := m.(*wire.Claims)
	if !ok {
		return
	}
	switch claims.Batch[0] {
	case 'a':
		_ = c.Send(&wire.ClaimsDone{ID: claims.ID, Appended: true, TimeMS: 7, Owned: []bool{true, false}})
	case 'r':
		_ = c.Send(&wire.ClaimsDone{ID: claims.ID, Refused: true})
	case 'u':
		_ = c.Send(&wire.ClaimsDone{ID: claims.ID})
	case 'b':
		_ = c.Close()
	}
}

// TestClaimPeers checks the error of each way in which forwarding can fail. If a batch that may have been appended were reported as not
// sent, a call could run twice. If an unsent batch were reported as possibly appended, its key would stay in doubt.
func TestClaimPeers(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := link.NewServer(link.DefaultConfig(), func() wire.Hello { return wire.Hello{Instance: "first"} }, claimWriter{})
	go func() { _ = server.Serve(ln) }()
	defer server.Close()
	peers := newClaimPeers(&settings.Settings{Instance: "second", Service: "cards"})
	defer peers.close()
	address := ln.Addr().String()
	// Case "b" breaks the connection; the next case must reconnect.
	for _, c := range []struct {
		batch string
		err   error
	}{{"a", nil}, {"r", services.ErrUnavailable}, {"u", errBatchOutcomeUnknown}, {"silent", errBatchOutcomeUnknown}, {"b", errBatchOutcomeUnknown}, {"a", nil}} {
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		appended, err := peers.Forward(ctx, address, 1, []byte(c.batch))
		cancel()
		must.ErrorIs(t, err, c.err, must.Sprint(c.batch))
		if c.err == nil {
			must.Eq(t, []bool{true, false}, appended.Owned)
			must.Eq(t, 7, appended.TimeMS)
		}
	}
	server.Close()
	// The client may not have noticed yet that the connection was closed.
	for !errors.Is(err, services.ErrUnavailable) {
		_, err = peers.Forward(t.Context(), address, 1, []byte("a"))
		must.Error(t, err)
	}
}
