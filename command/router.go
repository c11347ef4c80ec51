package command

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"nutmeglock.example/nutmeglock"
	"nutmeglock.example/nutmeglock/document"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/settings"
)

// Router returns the command that runs one router.
func Router() *cli.Command {
	return &cli.Command{
		Name:  "router",
		Usage: "run one router until SIGTERM, then shut down gracefully",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE`, JSON with comments"},
		},
		Commands: []*cli.Command{RouterList()},
		Action: func(ctx context.Context, c *cli.Command) error {
			// The flag is not marked as required, because that would apply to
			// "router list" too.
			if c.String("settings") == "" {
				return cli.Exit("router: --settings FILE is required", ExitUsage)
			}
			loaded, err := readSettings(c.String("settings"))
			if err != nil {
				return err
			}
			return runRouter(ctx, c, loaded)
		},
	}
}

func readSettings(file string) (*schema.RouterSettings, error) {
	data, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, eris.Wrap(err, "reading the settings")
	}
	s, err := nutmeglock.ReadSettings(file, data)
	var faults *document.FaultsError
	if errors.As(err, &faults) {
		return nil, cli.Exit(faults.Error(), ExitInvalid)
	}
	return s, err
}

// routerReady is the JSON line that a router prints once it listens.
type routerReady struct {
	Kind    string `json:"kind"`
	Address string `json:"address"`
	Peer    string `json:"peer-address"`
	Admin   string `json:"admin-address"`
}

// heapFactor is the soft limit of the heap as a multiple of what callers may hold. The rest is for the state of the fleet, and for
// garbage, of which crowds of short connections make much.
const heapFactor = 2

// limitHeap sets the soft limit of the heap, unless the environment does.
func limitHeap(s *schema.RouterSettings) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(heapFactor * settings.MaxHeldBytes(s))
	}
}

func runRouter(ctx context.Context, c *cli.Command, s *schema.RouterSettings) error {
	limitHeap(s)
	ctx, unregister := signal.NotifyContext(ctx, stopSignals()...)
	defer unregister()
	r, err := nutmeglock.New(ctx, s, nutmeglock.WithLog(newLog(c.Root().ErrWriter, s)))
	if err != nil {
		return err
	}
	addresses := r.Addresses()
	line := routerReady{Kind: c.Name, Address: addresses.Callers.String(), Peer: addresses.Peers.String(), Admin: addresses.Admin.String()}
	if err := json.NewEncoder(c.Root().Writer).Encode(line); err != nil {
		return eris.Wrap(err, "printing the addresses")
	}
	return r.Run(ctx)
}

func newLog(w io.Writer, s *schema.RouterSettings) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: settings.LogLevel(s)}))
}
