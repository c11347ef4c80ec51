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

// startTimeout limits the start of the local fleet and its first request.
const startTimeout = 30 * time.Second

// Run returns the command that runs a demo fleet on loopback in one process.
func Run() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "run a demo on loopback: a platform, two engines, a plain service and three routers",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "once", Usage: "exit after the first answer instead of at SIGINT or SIGTERM"},
		},
		Action: runLocal,
	}
}

func runLocal(ctx context.Context, c *cli.Command) error {
	ctx, unregister := signal.NotifyContext(ctx, stopSignals()...)
	defer unregister()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	fleet, err := local.Start(startCtx, local.Options{Routers: 3, Engines: 2, Applications: 1})
	if err != nil {
		return err
	}
	defer fleet.Close()
	url := "http://" + fleet.RouterAddresses[0].Callers.String() + "/v1/chat/completions"
	printLine(c, "Three routers are ready. Send a request to one of them:\n")
	printLine(c, curlCommand(url))
	answer, err := sendFirstRequest(startCtx, url)
	if err != nil {
		return err
	}
	printLine(c, "\nAnswer to this request:\n")
	printLine(c, answer)
	if c.Bool("once") {
		return nil
	}
	printLine(c, "\nStop with Ctrl-C.")
	<-ctx.Done()
	return nil
}

const firstRequestBody = `{"model":"findings","max_tokens":24,"messages":[{"role":"user","content":"What blocks duct 7?"}]}`

// curlCommand returns a curl command line for the first request.
func curlCommand(url string) string {
	return fmt.Sprintf("curl -sS %s \\\n  -H 'Authorization: Bearer %s' \\\n  -H 'Content-Type: application/json' \\\n  -d '%s'",
		url, local.AccountKey(0), firstRequestBody)
}

// sendFirstRequest sends the first request and returns the body of the answer.
func sendFirstRequest(ctx context.Context, url string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(firstRequestBody))
	if err != nil {
		return "", eris.Wrap(err, "creating the first request")
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
