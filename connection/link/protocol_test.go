package link

import (
	"context"
	"encoding/binary"
	"net"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/request/result"
)

// A peer of a different major version must be distinguishable from an unreachable one, at both ends and within the timeout.
func TestHandshakeRefusals(t *testing.T) {
	other := wire.Hello{Major: wire.MajorVersion + 1, Instance: "other"}
	otherFrame, err := wire.Encode(0, &other)
	must.NoError(t, err)
	ping, err := wire.Encode(0, &wire.Ping{})
	must.NoError(t, err)
	synctest.Test(t, func(t *testing.T) {
		for name, c := range map[string]struct {
			sends []byte
			want  error
		}{
			"other major version": {otherFrame, ErrProtocolVersion},
			"no Hello":            {ping, errProtocol},
			"silence":             {nil, context.DeadlineExceeded},
			"not our protocol":    {[]byte("HTTP/1.1 400 Bad Request\r\n"), wire.ErrFrame},
		} {
			refused := counterDelta(connectionsRefused)
			near, far := net.Pipe()
			go func() {
				_, _ = wire.Read(far)
				_, _ = far.Write(c.sends)
			}()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			_, err := Client(ctx, near, DefaultConfig(), testHello("client"), &testHandler{})
			cancel()
			must.ErrorIs(t, err, c.want, must.Sprint(name))
			_ = far.Close()
			must.EqOp(t, 1, refused(), must.Sprint(name))
		}
		refused := counterDelta(connectionsRefused)
		_, dial := startServer(t, DefaultConfig(), &testHandler{})
		silent, refusedPeer := dial(), dial()
		_, err := refusedPeer.Write(otherFrame)
		must.NoError(t, err)
		f, err := wire.Read(refusedPeer)
		must.NoError(t, err)
		must.EqOp(t, wire.MajorVersion, f.Message.(*wire.Hello).Major)
		for _, nc := range []net.Conn{refusedPeer, silent} {
			_, err = wire.Read(nc)
			must.Error(t, err)
		}
		must.EqOp(t, 2, refused())
	})
}

// A sender of malformed or forbidden frames must lose its own connection and no other, and must be visible in the counters.
func TestBadFramesCloseOnlyTheirConnection(t *testing.T) {
	_, dial := startServer(t, DefaultConfig(), &testHandler{open: func(ctx context.Context, open *wire.Open, r *Responder) {
		if len(open.Body) == 0 {
			<-ctx.Done()
		}
		echo(ctx, open, r)
	}})
	healthy := newClient(t, dial(), DefaultConfig())
	open, excess := testOpen(1, ""), &wire.Window{Identity: testOpen(1, "").Identity, Bytes: 1<<32 - 1}
	for name, send := range map[string]func(p *rawPeer){
		"length":       func(p *rawPeer) { _, _ = p.Write(binary.BigEndian.AppendUint32(nil, wire.MaxFrameBytes+1)) },
		"content":      func(p *rawPeer) { _, _ = p.Write([]byte{0, 0, 0, 6, byte(wire.TypePing), 0, 0, 0, 0, 0xc1}) },
		"second Hello": func(p *rawPeer) { p.send(0, &wire.Hello{}) },
		"direction":    func(p *rawPeer) { p.send(1, &wire.End{}) },
		"same stream":  func(p *rawPeer) { p.send(1, open); p.send(1, testOpen(2, "")) },
		"older stream": func(p *rawPeer) { p.send(2, open); p.send(1, testOpen(2, "")) },
		"stream zero":  func(p *rawPeer) { p.send(0, open) },
		"credit":       func(p *rawPeer) { p.send(1, open); p.send(1, excess); p.send(1, excess) },
	} {
		bad := counterDelta(badFrames)
		p := dialRaw(t, dial())
		send(p)
		_, err := p.frames.Next()
		must.Error(t, err, must.Sprint(name))
		must.EqOp(t, 1, bad(), must.Sprint(name))
		data, _, err := request(healthy, testOpen(9, name))
		must.NoError(t, err)
		must.Eq(t, name+"end", data)
	}
}

// Late frames of an earlier attempt or of an ended stream must not reach a caller, and unknown frames of a newer peer must not
// close the connection.
func TestStrayFramesAreDropped(t *testing.T) {
	near, far := net.Pipe()
	go func() {
		_, _ = wire.Read(far)
		hello := wire.Hello{Major: wire.MajorVersion}
		frame, _ := wire.Encode(0, &hello)
		_, _ = far.Write(frame)
	}()
	c := newClient(t, near, DefaultConfig())
	s, err := c.Open(t.Context(), testOpen(1, ""))
	must.NoError(t, err)
	peer := &rawPeer{t: t, Conn: far, frames: wire.NewReader(far)}
	peer.receive()
	peer.receive()
	go func() { // Cancel and Close write too.
		for _, err := peer.frames.Next(); err == nil; _, err = peer.frames.Next() {
		}
		_ = far.Close()
	}()
	unknown, identity, repeated, skipped := counterDelta(droppedUnknownStream), counterDelta(droppedIdentity), counterDelta(droppedRepeated), counterDelta(skippedTypes)
	other := wire.Identity{Request: s.id.Request, Attempt: 2}
	for _, m := range []wire.Message{&wire.Accepted{Identity: other}, &wire.Chunk{Identity: other, Data: []byte("x")}, &wire.End{Identity: other}} {
		peer.send(1, m)
		peer.send(99, m)
	}
	_, err = far.Write([]byte{0, 0, 0, 6, 200, 0, 0, 0, 1, 0x80})
	must.NoError(t, err)
	accepted := &wire.Accepted{Identity: s.id}
	peer.send(1, accepted)
	peer.send(1, accepted)
	peer.send(1, &wire.Chunk{Identity: s.id, Data: []byte("y")})
	m, err := s.Recv(t.Context())
	must.NoError(t, err)
	must.Eq(t, wire.Message(accepted), m)
	m, err = s.Recv(t.Context())
	must.NoError(t, err)
	must.Eq(t, "y", string(m.(*wire.Chunk).Data))
	s.Cancel()
	s.Cancel()
	_, err = s.Recv(t.Context())
	must.ErrorIs(t, err, ErrCanceled)
	must.True(t, s.Sent())
	peer.send(1, &wire.End{Identity: s.id})
	peer.send(0, &wire.Ping{})
	must.EqOp(t, 4, unknown())
	must.Eq(t, []int64{3, 1, 1}, []int64{identity(), repeated(), skipped()})
}

// A peer must not be able to make a server run or queue an unlimited number of requests, which would exhaust it for all other
// peers.
func TestServerBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := DefaultConfig()
		cfg.MaxStreams = 2
		cfg.QueueBytes = 1
		cfg.ControlQueueBytes = 100
		release := make(chan struct{})
		server, dial := startServer(t, cfg, &testHandler{open: func(ctx context.Context, open *wire.Open, r *Responder) {
			<-release
			echo(ctx, open, r)
		}})
		// Canceled requests count until their handlers return, so that a peer cannot start more by canceling.
		p := dialRaw(t, dial())
		for n := uint32(1); n <= 2; n++ {
			p.send(n, testOpen(byte(n), ""))
			p.send(n, &wire.Cancel{Identity: testOpen(byte(n), "").Identity})
		}
		p.send(3, testOpen(3, ""))
		end := p.receive().(*wire.End)
		must.EqOp(t, result.Full, result.Code(end.Result))
		must.EqOp(t, testOpen(3, "").Identity, end.Identity)

		// Requests whose responses are not read are refused only up to the hard limit of the queue.
		frame, err := wire.Encode(0, testOpen(4, ""))
		must.NoError(t, err)
		sent := uint32(4)
		for ; err == nil && sent < 100_000; sent++ {
			wire.SetStream(frame, sent)
			_, err = p.Write(frame)
		}
		must.Less(t, 100_000, sent)
		close(release)

		// Control frames for a peer that does not read fail at their limit, and the peer is lost at the write timeout.
		synctest.Wait()
		dialRaw(t, dial())
		synctest.Wait()
		c := server.Conns()[0]
		for err = nil; err == nil; {
			err = c.Send(&wire.Leaving{Instance: "server"})
		}
		must.ErrorIs(t, err, ErrQueueFull)
		began := time.Now()
		<-c.Done()
		must.EqOp(t, cfg.WriteTimeout, time.Since(began))
		must.ErrorIs(t, c.Send(&wire.Leaving{}), ErrConnectionLost)
	})
}

// An idle connection must be probed and a dead one detected, quickly if a request waits for it or the owner calls Probe. A
// busy connection must send no probes.
func TestKeepalive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := DefaultConfig()
		pings := counterDelta(pingsSent)
		_, dial := startServer(t, cfg, &testHandler{open: echo})
		c := newClient(t, dial(), cfg)
		for range 40 { // Traffic for 200 s.
			time.Sleep(cfg.KeepaliveInterval / 2)
			_, _, err := request(c, testOpen(1, ""))
			must.NoError(t, err)
		}
		must.EqOp(t, 0, pings())
		time.Sleep(20*cfg.IdleInterval + time.Second)
		must.EqOp(t, 20, pings())
		must.NoError(t, c.Err())
		c.Probe()
		time.Sleep(2*cfg.KeepaliveInterval + time.Second)
		must.EqOp(t, 21, pings())
		must.NoError(t, c.Err())

		p := dialRaw(t, dial())
		began := time.Now()
		must.Eq(t, wire.Message(&wire.Ping{ConfigVersion: 7}), p.receive())
		test.Between(t, cfg.IdleInterval, time.Since(began), cfg.IdleInterval+cfg.KeepaliveTimeout)
		pinged := time.Now()
		_, err := p.frames.Next()
		must.Error(t, err)
		test.LessEq(t, cfg.KeepaliveTimeout-cfg.KeepaliveInterval, time.Since(pinged))
	})
}

// A request on a previously idle connection must detect a dead peer as quickly as one on a busy connection, and so must Probe.
func TestKeepaliveDeadPeer(t *testing.T) {
	for name, use := range map[string]func(c *Conn){
		"request": func(c *Conn) { _, _ = c.Open(context.Background(), testOpen(1, "")) },
		"probe":   (*Conn).Probe,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cfg := DefaultConfig()
				ours, theirs := net.Pipe()
				go func() {
					reader := wire.NewReader(theirs)
					for first := true; ; first = false {
						if _, err := reader.Next(); err != nil {
							return
						}
						if first {
							hello, _ := wire.Encode(0, &wire.Hello{Major: wire.MajorVersion, Instance: "dead"})
							_, _ = theirs.Write(hello)
						}
					}
				}()
				c := newClient(t, ours, cfg)
				time.Sleep(cfg.IdleInterval / 2)
				began := time.Now()
				use(c)
				<-c.Done()
				test.LessEq(t, cfg.KeepaliveInterval+cfg.KeepaliveTimeout, time.Since(began))
				_ = theirs.Close()
			})
		})
	}
}

// A process that was paused for longer than the timeout must first read the data that arrived in the meantime, and not close
// its connections.
func TestKeepaliveAfterPause(t *testing.T) {
	k := keepalive{interval: 10 * time.Second, idle: time.Minute, timeout: 25 * time.Second}
	for _, step := range []struct {
		now, received time.Duration
		want          keepaliveAction
		wait          time.Duration
	}{
		{4, 3, actionWait, 9},
		{100, 3, actionPing, 10}, // After a pause.
		{110, 100, actionPing, 10},
		{120, 100, actionWait, 5},
		{125, 100, actionClose, 0},
	} {
		got, wait := k.next(step.now*time.Second, step.received*time.Second, activity{busy: true})
		must.EqOp(t, step.want, got)
		must.EqOp(t, step.wait*time.Second, wait)
	}
}

// The error for an invalid configuration must name every invalid field, so that an operator can find it.
func TestConfigValidateNamesTheField(t *testing.T) {
	must.NoError(t, DefaultConfig().Validate())
	err := Config{}.Validate()
	fields := reflect.TypeFor[Config]()
	for i := range fields.NumField() {
		must.StrContains(t, err.Error(), fields.Field(i).Name)
	}
}
