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

// Account returns the subcommand that lists accounts.
func Account() *cli.Command {
	return listing("account", "list the client accounts in force", listAccounts)
}

// Service returns the subcommand that lists services.
func Service() *cli.Command { return listing("service", "list the services in force", listServices) }

// Upstream returns the subcommand that lists upstreams.
func Upstream() *cli.Command {
	return listing("upstream", "list the upstreams in force", listUpstreams)
}

func listing(name, usage string, action cli.ActionFunc) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage,
		Commands: []*cli.Command{{Name: "list", Usage: usage, Action: action, Flags: adminFlags()}},
	}
}

// RouterList returns the list subcommand of the router subcommand, which lists
// the routers and their state. The router subcommand itself runs a router.
func RouterList() *cli.Command {
	return &cli.Command{Name: "list", Usage: "list the routers and their state", Action: listRouters, Flags: adminFlags()}
}

func listAccounts(ctx context.Context, c *cli.Command) error {
	request := func(ctx context.Context, api *operator.Client) (*schema.AccountList, error) { return api.Accounts(ctx) }
	return inquire(ctx, c, request, func(list *schema.AccountList) string {
		return table("ACCOUNT\tWEIGHT\tKEYS\tSERVICES\tWAITING HERE\tIN FLIGHT HERE\tSERVED HERE", func(w *tabwriter.Writer) {
			for _, state := range list.GetAccounts() {
				a, load := state.GetAccount(), state.GetLoad()
				row(w, a.GetId(), max(a.GetWeight(), 1), len(a.GetKeySha256()), orAll(a.GetServices()),
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
	return inquire(ctx, c, request, func(list *schema.ServiceList) string {
		return table("SERVICE\tKIND\tNON-IDEMPOTENT METHODS", func(w *tabwriter.Writer) {
			for _, s := range list.GetServices() {
				row(w, s.GetId(), s.GetKind(), orDash(strings.Join(s.GetNonIdempotentMethods(), ",")))
			}
		})
	})
}

func listUpstreams(ctx context.Context, c *cli.Command) error {
	request := func(ctx context.Context, api *operator.Client) (*schema.UpstreamList, error) {
		return api.Upstreams(ctx)
	}
	return inquire(ctx, c, request, func(list *schema.UpstreamList) string {
		return table("UPSTREAM\tSERVICE\tADDRESS\tDATA CENTRE\tSLOTS\tSTATE\tIN FLIGHT\tLIMIT\tDISPATCHER", func(w *tabwriter.Writer) {
			for _, state := range list.GetUpstreams() {
				u, load := state.GetUpstream(), state.GetLoad()
				row(w, u.GetId(), u.GetService(), u.GetAddress(), u.GetDataCenter(), u.GetSlots(),
					upstreamState(u, load), load.GetInFlight(), load.GetLimit(), orDash(load.GetDispatcher()))
			}
		})
	})
}

func upstreamState(u *schema.Upstream, load *schema.UpstreamLoad) string {
	if u.GetLeaving() {
		return "leaving"
	}
	return orDash(load.GetState())
}

func listRouters(ctx context.Context, c *cli.Command) error {
	request := func(ctx context.Context, api *operator.Client) (*schema.RouterList, error) { return api.Routers(ctx) }
	return inquire(ctx, c, request, func(list *schema.RouterList) string {
		return table("ROUTER\tDATA CENTRE\tADDRESS\tSTATE\tNOTE VERSION\tHEARD", func(w *tabwriter.Writer) {
			for _, r := range list.GetRouters() {
				row(w, r.GetId(), orDash(r.GetDataCenter()), orDash(r.GetAddress()), r.GetState(), r.GetNoteVersion(), heard(r))
			}
		})
	})
}

func heard(r *schema.RouterState) string {
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

// table returns aligned columns under a head of tab-separated names.
func table(head string, rows func(*tabwriter.Writer)) string {
	const gap = 2
	var text bytes.Buffer
	w := tabwriter.NewWriter(&text, 0, 0, gap, ' ', 0)
	row(w, head)
	rows(w)
	_ = w.Flush() // A buffer takes every write.
	return text.String()
}

func row(w *tabwriter.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	_, _ = fmt.Fprintln(w, strings.Join(texts, "\t"))
}
