package command

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"nutmeglock.example/nutmeglock/operator"
	"nutmeglock.example/nutmeglock/schema"
)

// Account returns the command for client accounts.
func Account() *cli.Command {
	return listCommand("account", "list the client accounts in force", listAccounts)
}

// Service returns the command for services.
func Service() *cli.Command {
	return listCommand("service", "list the services in force", listServices)
}

// Upstream returns the command for upstreams.
func Upstream() *cli.Command {
	return listCommand("upstream", "list the upstreams in force", listUpstreams)
}

// listCommand returns a command with a list subcommand.
func listCommand(name, usage string, action cli.ActionFunc) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage,
		Commands: []*cli.Command{{Name: "list", Usage: usage, Action: action, Flags: adminFlags()}},
	}
}

// RouterList returns the list subcommand of the router command, which itself runs
// a router.
func RouterList() *cli.Command {
	return &cli.Command{Name: "list", Usage: "list the routers and their state", Action: listRouters, Flags: adminFlags()}
}

func listAccounts(ctx context.Context, c *cli.Command) error {
	request := func(ctx context.Context, api *operator.Client) (*schema.AccountList, error) { return api.Accounts(ctx) }
	return queryAndPrint(ctx, c, request, func(list *schema.AccountList) string {
		return formatTable("ACCOUNT\tWEIGHT\tKEYS\tSERVICES\tWAITING HERE\tIN FLIGHT HERE\tSERVED HERE", func(w *tabwriter.Writer) {
			for _, state := range list.GetAccounts() {
				a, load := state.GetAccount(), state.GetLoad()
				writeRow(w, a.GetId(), max(a.GetWeight(), 1), len(a.GetKeySha256()), orAll(a.GetServices()),
					load.GetWaiting(), load.GetInFlight(), load.GetService())
			}
		})
	})
}

func orAll(services []string) string {
	if len(services) == 0 {
		return "all"
	}
	return strings.Join(services, ",")
}

func listServices(ctx context.Context, c *cli.Command) error {
	request := func(ctx context.Context, api *operator.Client) (*schema.ServiceList, error) { return api.Services(ctx) }
	return queryAndPrint(ctx, c, request, func(list *schema.ServiceList) string {
		return formatTable("SERVICE\tKIND\tNON-IDEMPOTENT METHODS", func(w *tabwriter.Writer) {
			for _, s := range list.GetServices() {
				writeRow(w, s.GetId(), s.GetKind(), orDash(strings.Join(s.GetNonIdempotentMethods(), ",")))
			}
		})
	})
}

func listUpstreams(ctx context.Context, c *cli.Command) error {
	request := func(ctx context.Context, api *operator.Client) (*schema.UpstreamList, error) {
		return api.Upstreams(ctx)
	}
	return queryAndPrint(ctx, c, request, func(list *schema.UpstreamList) string {
		return formatTable("UPSTREAM\tSERVICE\tADDRESS\tDATA CENTRE\tSLOTS\tSTATE\tIN FLIGHT\tLIMIT\tDISPATCHER", func(w *tabwriter.Writer) {
			for _, state := range list.GetUpstreams() {
				u, load := state.GetUpstream(), state.GetLoad()
				writeRow(w, u.GetId(), u.GetService(), u.GetAddress(), u.GetDataCenter(), u.GetSlots(),
					upstreamState(u, load), load.GetInFlight(), load.GetLimit(), orDash(load.GetDispatcher()))
			}
		})
	})
}

// upstreamState returns the state to show for an upstream. The leaving flag of the
// release note takes precedence over the state that the router reports.
func upstreamState(u *schema.Upstream, load *schema.UpstreamLoad) string {
	if u.GetLeaving() {
		return "leaving"
	}
	return orDash(load.GetState())
}

func listRouters(ctx context.Context, c *cli.Command) error {
	request := func(ctx context.Context, api *operator.Client) (*schema.RouterList, error) { return api.Routers(ctx) }
	return queryAndPrint(ctx, c, request, func(list *schema.RouterList) string {
		return formatTable("ROUTER\tDATA CENTRE\tADDRESS\tSTATE\tNOTE VERSION\tHEARD", func(w *tabwriter.Writer) {
			for _, r := range list.GetRouters() {
				writeRow(w, r.GetId(), orDash(r.GetDataCenter()), orDash(r.GetAddress()), r.GetState(), r.GetNoteVersion(), lastHeard(r))
			}
		})
	})
}

// lastHeard returns the time since the last message from the router.
func lastHeard(r *schema.RouterState) string {
	switch {
	case r.GetSelf():
		return "answers"
	case r.GetHeardMsAgo() == 0:
		return orDash("")
	}
	return fmt.Sprintf("%d ms ago", r.GetHeardMsAgo())
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// formatTable returns a table with aligned columns. header holds the tab-separated
// column names, and rows writes the rows.
func formatTable(header string, rows func(*tabwriter.Writer)) string {
	const gap = 2
	var text bytes.Buffer
	w := tabwriter.NewWriter(&text, 0, 0, gap, ' ', 0)
	writeRow(w, header)
	rows(w)
	_ = w.Flush() // Writes to a buffer do not fail.
	return text.String()
}

func writeRow(w *tabwriter.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	_, _ = fmt.Fprintln(w, strings.Join(texts, "\t"))
}
