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

// standInHeaderTimeout limits the time to read a request header.
const standInHeaderTimeout = 10 * time.Second

// standInStopTimeout limits the wait for requests in flight when a stand-in stops.
const standInStopTimeout = 5 * time.Second

// StandIn returns the command that runs a stand-in as a separate process.
func StandIn() *cli.Command {
	return &cli.Command{
		Name:     "stand-in",
		Usage:    "run a stand-in for an engine, a plain service or the platform",
		Commands: []*cli.Command{standInEngine(), standInApplication(), standInPlatform()},
	}
}

func addressFlag() cli.Flag {
	return &cli.StringFlag{Name: "address", Value: "127.0.0.1:0", Usage: "`HOST:PORT` to listen on; port 0 selects a free port"}
}

func standInEngine() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "model engine with continuous batching and a prefix cache",
		Flags: []cli.Flag{
			addressFlag(),
			&cli.FloatFlag{Name: "time-scale", Value: 1, Usage: "multiply every duration by `FACTOR`"},
			&cli.DurationFlag{Name: "step-base", Usage: "duration of a step with an empty batch (default 20ms)"},
			&cli.DurationFlag{Name: "step-slope", Usage: "additional duration of a step for each request in the batch (default 0.5ms)"},
			&cli.IntFlag{Name: "max-batch", Usage: "requests that run concurrently (default 32)"},
			&cli.IntFlag{Name: "cache-blocks", Usage: "blocks in the prefix cache (default 4096)"},
			&cli.DurationFlag{Name: "report-lag", Usage: "age of a load report (default 1s)"},
			&cli.DurationFlag{Name: "event-lag", Usage: "age of a cache event when it appears (default 2s)"},
			&cli.IntFlag{Name: "event-gap", Usage: "drop every `N`th cache event"},
			&cli.DurationFlag{Name: "retention", Usage: "how long a stream without a reader is kept (default 10s)"},
			&cli.BoolFlag{Name: "check-fencing", Usage: "refuse orders with an old fencing number"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serveStandIn(ctx, c, engine.New(engine.Options{
				TimeScale:         c.Float("time-scale"),
				StepBase:          c.Duration("step-base"),
				StepPerRequest:    c.Duration("step-slope"),
				MaxBatch:          c.Int("max-batch"),
				CacheBlocks:       c.Int("cache-blocks"),
				ReportLag:         c.Duration("report-lag"),
				EventLag:          c.Duration("event-lag"),
				DropEveryNthEvent: c.Int("event-gap"),
				Retention:         c.Duration("retention"),
				CheckFencing:      c.Bool("check-fencing"),
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
			&cli.DurationFlag{Name: "service-time", Usage: "duration of each call"},
			&cli.IntFlag{Name: "slots", Usage: "calls that run concurrently (default 64)"},
			&cli.IntFlag{Name: "max-queued", Usage: "queued calls before further ones are refused (default: no limit)"},
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
			&cli.DurationFlag{Name: "vm-lag", Usage: "delay before readers see a change of the VM list"},
			&cli.FloatFlag{Name: "reads", Usage: "limit on reads per second (default none)"},
			&cli.FloatFlag{Name: "writes", Usage: "limit on writes per second (default none)"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			store := memory.New(timer.System{})
			store.SetVMListLag(c.Duration("vm-lag"))
			store.SetRateLimits(c.Float("reads"), c.Float("writes"))
			return serveStandIn(ctx, c, standin.New(store))
		},
	}
}

// standInReady is the JSON line that a stand-in prints once it listens.
type standInReady struct {
	Kind    string `json:"kind"`
	Address string `json:"address"`
}

// serveStandIn serves requests until SIGINT, SIGTERM or the end of ctx.
func serveStandIn(ctx context.Context, c *cli.Command, handler http.Handler) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", c.String("address"))
	if err != nil {
		return eris.Wrapf(err, "listening on %s", c.String("address"))
	}
	httpServer := &http.Server{Handler: handler, ReadHeaderTimeout: standInHeaderTimeout}
	var group run.Group
	group.Add(run.SignalHandler(ctx, stopSignals()...))
	group.Add(func() error { return httpServer.Serve(listener) }, func(error) { stopServer(httpServer) })
	if err := printReady(c.Root().Writer, standInReady{Kind: c.Name, Address: listener.Addr().String()}); err != nil {
		return err
	}
	return ignoreSignal(group.Run())
}

func printReady(w io.Writer, line standInReady) error { return json.NewEncoder(w).Encode(line) }

// stopServer waits for requests in flight until the timeout and then aborts them.
func stopServer(httpServer *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), standInStopTimeout)
	defer cancel()
	if httpServer.Shutdown(ctx) != nil {
		_ = httpServer.Close()
	}
}

// ignoreSignal returns nil for an error that means a requested stop, by a signal
// or the end of the context.
func ignoreSignal(err error) error {
	if errors.Is(err, run.ErrSignal) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
