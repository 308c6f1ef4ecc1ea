package command

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"github.com/foxtaillanding/foxtaillanding/internal/standin"
	platformstandin "github.com/foxtaillanding/foxtaillanding/platform/standin"
)

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Usage: "`ADDRESS` to listen on; port 0 selects a free port", Value: "127.0.0.1:0"}
}

// serveStandin starts a server, prints its address on a line of its own and serves until ctx is done.
func serveStandin(ctx context.Context, c *cli.Command, handler fasthttp.RequestHandler) error {
	s, err := standin.Serve(c.String("listen"), handler)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintln(c.Root().Writer, "serving on "+s.Address); err != nil {
		return err
	}
	<-ctx.Done()
	return s.Close()
}

func standinStoreCommand() *cli.Command {
	return &cli.Command{
		Name:  "store",
		Usage: "the platform's key-value service",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.IntFlag{Name: "writes", Usage: "maximum number of writes per second", Value: platformstandin.DefaultWritesPerSecond},
			&cli.IntFlag{Name: "reads", Usage: "maximum number of reads per second", Value: platformstandin.DefaultReadsPerSecond},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s := &platformstandin.Store{WritesPerSecond: c.Int("writes"), ReadsPerSecond: c.Int("reads")}
			return serveStandin(ctx, c, s.Handle)
		},
	}
}

func standinEngineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "a model engine",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.IntFlag{Name: "slots", Usage: "maximum number of requests that run concurrently", Value: 8},
			&cli.FloatFlag{Name: "speed", Usage: "tokens per second of one stream", Value: 200},
			&cli.DurationFlag{Name: "first-token", Usage: "time to the first token", Value: 20 * time.Millisecond},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			e := &standin.Engine{Slots: c.Int("slots"), TokensPerSecond: c.Float("speed"), FirstToken: c.Duration("first-token")}
			return serveStandin(ctx, c, e.Handle)
		},
	}
}

func standinServiceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "an order-and-stock service",
		Flags: []cli.Flag{listenFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serveStandin(ctx, c, (&standin.Service{}).Handle)
		},
	}
}

func standinServerCommand() *cli.Command {
	return &cli.Command{
		Name:  "server",
		Usage: "a server on the platform that serves opaque requests",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "id", Usage: "`ID` of this incarnation", Required: true},
			&cli.StringFlag{Name: "software", Usage: "`VERSION` of its software"},
			&cli.IntFlag{Name: "events", Usage: "number of events of a complete stream", Value: 10},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			ln, err := net.Listen("tcp4", c.String("listen"))
			if err != nil {
				return errors.Wrap(err, "listening for callers")
			}
			server := &http.Server{
				Handler:           &platformstandin.Server{ID: c.String("id"), Version: c.String("software"), Events: c.Int("events")},
				ReadHeaderTimeout: time.Minute,
				ErrorLog:          log.New(io.Discard, "", 0),
				ConnContext:       platformstandin.WithConn,
			}
			if _, err := fmt.Fprintln(c.Root().Writer, "serving on "+ln.Addr().String()); err != nil {
				return err
			}
			go func() {
				<-ctx.Done()
				_ = server.Close()
			}()
			if err := server.Serve(platformstandin.Listener{Listener: ln}); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		},
	}
}

func standinVMsCommand() *cli.Command {
	return &cli.Command{
		Name:  "vms",
		Usage: "the platform's list of VMs",
		Flags: []cli.Flag{listenFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serveStandin(ctx, c, (&standin.VMs{}).Handle)
		},
	}
}
