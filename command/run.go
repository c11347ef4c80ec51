package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os/signal"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"nutmeglock.example/nutmeglock/local"
)

// startTimeout bounds the start of the local fleet and its first answer.
const startTimeout = 30 * time.Second

// Run returns the command that runs a whole fleet on loopback in one process.
func Run() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "run a platform, two engines, a plain service and three routers on loopback, as a first look",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "once", Usage: "end after the first answer instead of at SIGINT or SIGTERM"},
		},
		Action: runLocal,
	}
}

func runLocal(ctx context.Context, c *cli.Command) error {
	ctx, end := signal.NotifyContext(ctx, stopSignals()...)
	defer end()
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	started, err := local.Start(starting, local.Options{Routers: 3, Engines: 2, Applications: 1})
	if err != nil {
		return err
	}
	defer started.Close()
	url := "http://" + started.Routers[0].Callers.String() + "/v1/chat/completions"
	say(c, "Three routers are ready. Ask one of them:\n")
	say(c, curl(url))
	answer, err := ask(starting, url)
	if err != nil {
		return err
	}
	say(c, "\nIts answer to the same request:\n")
	say(c, answer)
	if c.Bool("once") {
		return nil
	}
	say(c, "\nStop with Ctrl-C.")
	<-ctx.Done()
	return nil
}

const firstQuestion = `{"model":"findings","max_tokens":24,"messages":[{"role":"user","content":"What blocks duct 7?"}]}`

func curl(url string) string {
	return fmt.Sprintf("curl -sS %s \\\n  -H 'Authorization: Bearer %s' \\\n  -H 'Content-Type: application/json' \\\n  -d '%s'",
		url, local.AccountKey(0), firstQuestion)
}

func ask(ctx context.Context, url string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(firstQuestion))
	if err != nil {
		return "", eris.Wrap(err, "making the first request")
	}
	req.Header.Set("Authorization", "Bearer "+local.AccountKey(0))
	req.Header.Set("Content-Type", "application/json")
	answer, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", eris.Wrap(err, "sending the first request")
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return "", eris.Wrap(err, "reading the first answer")
	}
	if answer.StatusCode != http.StatusOK {
		return "", eris.Errorf("the first answer has status %d: %s", answer.StatusCode, text)
	}
	return string(text), nil
}
