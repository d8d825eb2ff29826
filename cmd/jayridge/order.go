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
		Description: "Takes the lease on the runner's orders, so that each order has a fencing token, and sends the order through the sidecar.",
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
	fence, release, err := acquire(ctx, kv, "order/"+sidecar.ID)
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
	return services.Instance{}, failf(result.NotFound, "the instance list has no %q", id)
}

// leasePoll is the time between looks at a lease that is being acquired.
const leasePoll = 20 * time.Millisecond

// acquire waits until this command holds a lease. release gives it up.
func acquire(ctx context.Context, kv services.KV, name string) (fence uint64, release func(), err error) {
	keeper := lease.NewKeeper(lease.DefaultConfig(), kv, name, operatorName(), rand.Uint64())
	run, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		keeper.Run(run)
	}()
	release = func() {
		stop()
		<-ended
	}
	for {
		if fence, ok := keeper.Held(time.Now()); ok {
			return fence, release, nil
		}
		if !sleep.For(ctx, leasePoll) {
			release()
			return 0, nil, failf(result.PlatformDown, "the lease %s could not be acquired in time", name)
		}
	}
}

// operatorName names this command to peers and in leases.
func operatorName() string {
	host, err := os.Hostname()
	if err != nil {
		host = "unknown"
	}
	return "operator@" + host + ":" + strconv.Itoa(os.Getpid())
}

// orderReplies takes the answers to an order.
type orderReplies struct {
	done chan *wire.OrderDone
	lost chan error
}

// HandleOpen implements link.Handler; it is never called on the dialing side.
func (r orderReplies) HandleOpen(context.Context, *link.Conn, *wire.Open, *link.Responder) {}

// HandleControl implements link.Handler.
func (r orderReplies) HandleControl(_ *link.Conn, m wire.Message) {
	if done, ok := m.(*wire.OrderDone); ok {
		select {
		case r.done <- done:
		default:
		}
	}
}

// HandleClose implements link.Handler.
func (r orderReplies) HandleClose(_ *link.Conn, err error) { r.lost <- err }

func sendOrder(ctx context.Context, address string, order *wire.Order) (*wire.OrderDone, error) {
	replies := orderReplies{done: make(chan *wire.OrderDone, 1), lost: make(chan error, 1)}
	hello := func() wire.Hello {
		return wire.Hello{Major: wire.MajorVersion, Minor: wire.MinorVersion, Instance: operatorName(), Role: "operator"}
	}
	conn, err := link.Dial(ctx, address, link.DefaultConfig(), hello, replies)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	if err := conn.Send(order); err != nil {
		return nil, err
	}
	select {
	case done := <-replies.done:
		return done, nil
	case err := <-replies.lost:
		return nil, err
	case <-ctx.Done():
		return nil, errors.New("no answer in time; the order may have been carried out")
	}
}
