package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/connection/wire"
)

// Dial connects to address (host:port) and completes the handshake. local returns the Hello of this process; link sets its
// protocol version. local is called again for the configuration version of each Ping and Pong, from any goroutine, and must
// not block. ctx and Config.HandshakeTimeout apply to the dialing only. A peer of a different major version yields an error
// that wraps ErrProtocolVersion. The owner of the Conn ends it with Close and waits for Done.
func Dial(ctx context.Context, address string, cfg Config, local func() wire.Hello, h Handler) (*Conn, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, cfg.HandshakeTimeout)
	defer cancel()
	// Keepalive frames replace TCP keepalive, whose probes would add control traffic on idle connections.
	dialer := net.Dialer{KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "connect to %s", address)
	}
	return Client(ctx, nc, cfg, local, h)
}

// Client is like Dial for an existing network connection. It takes ownership of nc, and closes it if the handshake fails.
func Client(ctx context.Context, nc net.Conn, cfg Config, local func() wire.Hello, h Handler) (*Conn, error) {
	if err := cfg.Validate(); err != nil {
		_ = nc.Close()
		return nil, err
	}
	c := newConn(nc, cfg, local, h)
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
	err := c.handshake(c.sendHello, c.receiveHello)
	if !stop() {
		// nc was closed because ctx ended.
		err = errors.Join(ctx.Err(), err)
	}
	if err != nil {
		connectionsRefused.Add(1)
		c.reportBadFrame(err)
		c.cancel()
		_ = nc.Close()
		return nil, trace.Wrap(err, "handshake with %s", nc.RemoteAddr())
	}
	connectionsOpened.Add(1)
	go c.run()
	return c, nil
}

// handshake runs the steps with Config.HandshakeTimeout as their common deadline.
func (c *Conn) handshake(steps ...func() error) error {
	if err := c.nc.SetDeadline(time.Now().Add(c.cfg.HandshakeTimeout)); err != nil {
		return err
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return c.nc.SetDeadline(time.Time{})
}

// sendHello sends this end's Hello with the protocol version.
func (c *Conn) sendHello() error {
	hello := c.local()
	hello.Major, hello.Minor = wire.MajorVersion, wire.MinorVersion
	frame, err := wire.Encode(wire.ControlStream, &hello)
	if err != nil {
		return err
	}
	if _, err := c.nc.Write(frame); err != nil {
		return err
	}
	c.stats.sent(true, 1, len(frame))
	return nil
}

// receiveHello reads the peer's Hello and rejects a different major version.
func (c *Conn) receiveHello() error {
	frame, err := c.frames.Next()
	if err != nil {
		return err
	}
	hello, ok := frame.Message.(*wire.Hello)
	if !ok {
		return fmt.Errorf("%w: first frame is %T", errProtocol, frame.Message)
	}
	c.stats.received(true, frame.Bytes)
	c.remote = *hello
	if hello.Major != wire.MajorVersion {
		return fmt.Errorf("%w: peer has %d.%d, this end %d.%d", ErrProtocolVersion,
			hello.Major, hello.Minor, wire.MajorVersion, wire.MinorVersion)
	}
	return nil
}
