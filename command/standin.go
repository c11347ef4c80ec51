package command

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"nutmeglock.example/nutmeglock/platform/standin"
	"nutmeglock.example/nutmeglock/standin/application"
	"nutmeglock.example/nutmeglock/standin/engine"
	"nutmeglock.example/nutmeglock/store/memory"
	"nutmeglock.example/nutmeglock/timer"
)

// standInHeaderTimeout bounds the time in which a stand-in reads a request's header.
const standInHeaderTimeout = 10 * time.Second

// standInStopTimeout bounds the time that a stand-in waits for requests in
// flight once it is told to stop.
const standInStopTimeout = 5 * time.Second

// StandIn returns the command that runs one of the stand-ins as a process of its own.
func StandIn() *cli.Command {
	return &cli.Command{
		Name:     "stand-in",
		Usage:    "run a stand-in for an engine, a plain service or the platform",
		Commands: []*cli.Command{standInEngine(), standInApplication(), standInPlatform()},
	}
}

func addressFlag() cli.Flag {
	return &cli.StringFlag{Name: "address", Value: "127.0.0.1:0", Usage: "`HOST:PORT` to listen on; port 0 takes a free one"}
}

func standInEngine() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "model engine with continuous batching and a prefix cache",
		Flags: []cli.Flag{
			addressFlag(),
			&cli.FloatFlag{Name: "time-scale", Value: 1, Usage: "multiply every duration by `FACTOR`"},
			&cli.DurationFlag{Name: "step-base", Usage: "time of a step of an empty batch (default 20ms)"},
			&cli.DurationFlag{Name: "step-slope", Usage: "further time of a step for each request in the batch (default 0.5ms)"},
			&cli.IntFlag{Name: "max-batch", Usage: "requests that run at once (default 32)"},
			&cli.IntFlag{Name: "cache-blocks", Usage: "blocks in the prefix cache (default 4096)"},
			&cli.DurationFlag{Name: "report-lag", Usage: "age of a load report (default 1s)"},
			&cli.DurationFlag{Name: "event-lag", Usage: "age of a cache event when it appears (default 2s)"},
			&cli.IntFlag{Name: "event-gap", Usage: "lose each `N`th cache event"},
			&cli.DurationFlag{Name: "retention", Usage: "how long a stream is kept without a reader (default 10s)"},
			&cli.BoolFlag{Name: "check-fencing", Usage: "refuse orders with an old fencing number"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serveStandIn(ctx, c, engine.New(engine.Options{
				TimeScale:    c.Float("time-scale"),
				StepBase:     c.Duration("step-base"),
				StepSlope:    c.Duration("step-slope"),
				MaxBatch:     c.Int("max-batch"),
				CacheBlocks:  c.Int("cache-blocks"),
				ReportLag:    c.Duration("report-lag"),
				EventLag:     c.Duration("event-lag"),
				EventGap:     c.Int("event-gap"),
				Retention:    c.Duration("retention"),
				CheckFencing: c.Bool("check-fencing"),
			}))
		},
	}
}

func standInApplication() *cli.Command {
	return &cli.Command{
		Name:  "application",
		Usage: "plain service that counts the runs of each request",
		Flags: []cli.Flag{
			addressFlag(),
			&cli.DurationFlag{Name: "service-time", Usage: "how long one call runs"},
			&cli.IntFlag{Name: "slots", Usage: "calls that run at once (default 64)"},
			&cli.IntFlag{Name: "max-queued", Usage: "calls that wait before further ones are refused (default: any number)"},
			&cli.DurationFlag{Name: "report-lag", Usage: "age of a load report"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serveStandIn(ctx, c, application.New(application.Options{
				ServiceTime: c.Duration("service-time"),
				Slots:       c.Int("slots"),
				MaxQueued:   c.Int("max-queued"),
				ReportLag:   c.Duration("report-lag"),
			}))
		},
	}
}

func standInPlatform() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "table service, object store and VM list, in memory",
		Flags: []cli.Flag{
			addressFlag(),
			&cli.DurationFlag{Name: "vm-lag", Usage: "how much later the VM list changes for readers"},
			&cli.FloatFlag{Name: "reads", Usage: "bound on reads a second (default none)"},
			&cli.FloatFlag{Name: "writes", Usage: "bound on writes a second (default none)"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			store := memory.New(timer.System{})
			store.SetLag(c.Duration("vm-lag"))
			store.SetLimits(c.Float("reads"), c.Float("writes"))
			return serveStandIn(ctx, c, standin.New(store))
		},
	}
}

// ready is the line of JSON that a stand-in prints once it listens.
type ready struct {
	Kind    string `json:"kind"`
	Address string `json:"address"`
}

// serveStandIn answers requests until SIGINT, SIGTERM or the end of ctx.
func serveStandIn(ctx context.Context, c *cli.Command, handler http.Handler) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", c.String("address"))
	if err != nil {
		return eris.Wrapf(err, "listening on %s", c.String("address"))
	}
	httpServer := &http.Server{Handler: handler, ReadHeaderTimeout: standInHeaderTimeout}
	var group run.Group
	group.Add(run.SignalHandler(ctx, stopSignals()...))
	group.Add(func() error { return httpServer.Serve(listener) }, func(error) { stopServer(httpServer) })
	if err := announce(c.Root().Writer, ready{Kind: c.Name, Address: listener.Addr().String()}); err != nil {
		return err
	}
	return withoutSignal(group.Run())
}

func announce(w io.Writer, line ready) error { return json.NewEncoder(w).Encode(line) }

// stopServer finishes the requests in flight within the timeout, then breaks the rest.
func stopServer(httpServer *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), standInStopTimeout)
	defer cancel()
	if httpServer.Shutdown(ctx) != nil {
		_ = httpServer.Close()
	}
}

// withoutSignal returns nil for the end that a signal brings, which is no failure.
func withoutSignal(err error) error {
	if errors.Is(err, run.ErrSignal) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
