package main

import (
	"context"
	"errors"
	"math/rand/v2"
	"os"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/jayridge/jayridge/connection/link"
	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/internal/sleep"
	"github.com/jayridge/jayridge/process/lease"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/request/result"
)

func orderCommand() *cli.Command {
	return &cli.Command{
		Name: "order", Usage: "order a runner's engine to load a version or an adapter, or to change its role",
		Description: "Acquires the lease for orders to the runner and sends the order, with the fencing token of the lease, through the sidecar.",
		Flags: []cli.Flag{
			kvFlag(), instancesFlag(),
			&cli.StringFlag{Name: "upstream", Required: true, Usage: "`ID` of the runner"},
			&cli.StringFlag{Name: "kind", Required: true, Usage: "`KIND`: load-version, load-adapter or set-role"},
			&cli.StringFlag{Name: "target", Required: true, Usage: "`NAME` of the version, adapter or role"},
			&cli.DurationFlag{Name: "timeout", Value: 30 * time.Second, Usage: "how long to wait for the lease and the engine"},
		},
		Action: runOrder,
	}
}

func runOrder(ctx context.Context, cmd *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	kv, err := openKV(cmd)
	if err != nil {
		return err
	}
	sidecar, err := findInstance(ctx, cmd, cmd.String("upstream"))
	if err != nil {
		return err
	}
	fence, release, err := acquireLease(ctx, kv, "order/"+sidecar.ID)
	if err != nil {
		return err
	}
	defer release()
	done, err := sendOrder(ctx, sidecar.Address, &wire.Order{
		ID: rand.Uint64(), Kind: cmd.String("kind"), Target: cmd.String("target"), Fence: fence,
	})
	if err != nil {
		return fail(result.ConnectionLost, err)
	}
	if code := result.Code(done.Result); code != result.OK {
		return failf(code, "%s refused the order: %s", sidecar.ID, done.Reason)
	}
	newPrinter(cmd).note("%s: done, fencing token %d", sidecar.ID, fence)
	return nil
}

func findInstance(ctx context.Context, cmd *cli.Command, id string) (services.Instance, error) {
	rows, err := instanceList(ctx, cmd)
	if err != nil {
		return services.Instance{}, err
	}
	for _, row := range rows {
		if row.ID == id {
			return row, nil
		}
	}
	return services.Instance{}, failf(result.NotFound, "instance %q is not in the instance list", id)
}

// leasePollInterval is the time between checks whether the lease is acquired.
const leasePollInterval = 20 * time.Millisecond

// acquireLease waits until this command holds a lease, and returns its fencing token. release gives the lease up.
func acquireLease(ctx context.Context, kv services.KV, name string) (fence uint64, release func(), err error) {
	keeper := lease.NewKeeper(lease.DefaultConfig(), kv, name, operatorName(), rand.Uint64())
	runCtx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		keeper.Run(runCtx)
	}()
	release = func() {
		stop()
		<-ended
	}
	for {
		if fence, ok := keeper.Held(); ok {
			return fence, release, nil
		}
		if !sleep.For(ctx, leasePollInterval) {
			release()
			return 0, nil, failf(result.PlatformDown, "the lease %q could not be acquired within the timeout", name)
		}
	}
}

// operatorName returns the name by which this command identifies itself to peers and in leases.
func operatorName() string {
	host, err := os.Hostname()
	if err != nil {
		host = "unknown"
	}
	return "operator@" + host + ":" + strconv.Itoa(os.Getpid())
}

// orderHandler receives the reply to an order. It implements link.Handler.
type orderHandler struct {
	done chan *wire.OrderDone
	lost chan error
}

// HandleOpen implements link.Handler. It is never called on the dialing side.
func (h orderHandler) HandleOpen(context.Context, *link.Conn, *wire.Open, *link.Responder) {}

// HandleControl implements link.Handler.
func (h orderHandler) HandleControl(_ *link.Conn, m wire.Message) {
	if done, ok := m.(*wire.OrderDone); ok {
		select {
		case h.done <- done:
		default:
		}
	}
}

// HandleClose implements link.Handler.
func (h orderHandler) HandleClose(_ *link.Conn, err error) { h.lost <- err }

// sendOrder sends an order to the sidecar at address and waits for the reply.
func sendOrder(ctx context.Context, address string, order *wire.Order) (*wire.OrderDone, error) {
	handler := orderHandler{done: make(chan *wire.OrderDone, 1), lost: make(chan error, 1)}
	hello := func() wire.Hello {
		return wire.Hello{Major: wire.MajorVersion, Minor: wire.MinorVersion, Instance: operatorName(), Role: "operator"}
	}
	conn, err := link.Dial(ctx, address, link.DefaultConfig(), hello, handler)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	if err := conn.Send(order); err != nil {
		return nil, err
	}
	select {
	case done := <-handler.done:
		return done, nil
	case err := <-handler.lost:
		return nil, err
	case <-ctx.Done():
		return nil, errors.New("no reply within the timeout; the order may have been executed")
	}
}
