package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/foxtaillanding/foxtaillanding/internal/chat"
	"github.com/foxtaillanding/foxtaillanding/pkg/caller"
)

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "list the entry addresses of the fleet and their weights",
		Flags: []cli.Flag{routerFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			client := caller.Client{Seeds: c.StringSlice("router")}
			entries, err := client.Entries(time.Now())
			if err != nil {
				return err
			}
			for _, e := range entries {
				if _, err := fmt.Fprintf(c.Root().Writer, "%-21s %-20s %-16s weight %.2f\n", e.Address, e.VM, e.DataCentre, e.Weight); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func callCommand() *cli.Command {
	return &cli.Command{
		Name:  "call",
		Usage: "send one request as a caller, retrying it where a retry can help",
		Flags: []cli.Flag{
			routerFlag(),
			&cli.StringFlag{Name: "api-key", Usage: "API `KEY` of the client account", Sources: cli.EnvVars("FOXTAILLANDING_API_KEY"), Required: true},
			&cli.StringFlag{Name: "model", Usage: "`NAME` of the model"},
			&cli.StringFlag{Name: "prompt", Usage: "`TEXT` for the model"},
			&cli.Int64Flag{Name: "max-tokens", Usage: "maximum number of output tokens", Value: 256},
			&cli.BoolFlag{Name: "stream", Usage: "print the server-sent events as they arrive"},
			&cli.StringFlag{Name: "service", Usage: "`SERVICE/CALL` to send the request to, in place of a model"},
			&cli.StringFlag{Name: "body", Usage: "JSON `TEXT` for the service, or - to read it from standard input"},
			&cli.StringFlag{Name: "key", Usage: "`Idempotency-Key`, generated if omitted"},
			&cli.IntFlag{Name: "tries", Usage: "maximum number of attempts", Value: caller.DefaultMaxAttempts},
		},
		Action: callFleet,
	}
}

func callFleet(ctx context.Context, c *cli.Command) error {
	r, err := callerRequest(c)
	if err != nil {
		return err
	}
	client := caller.Client{Seeds: c.StringSlice("router"), APIKey: c.String("api-key"), MaxAttempts: c.Int("tries")}
	out := io.Discard
	if c.Bool("stream") {
		out = c.Root().Writer
	}
	resp, err := client.Do(ctx, r, out)
	if err != nil {
		return err
	}
	if c.Bool("stream") {
		return nil
	}
	_, err = fmt.Fprintln(c.Root().Writer, string(resp.Body))
	return err
}

// callerRequest returns the request that the flags describe.
func callerRequest(c *cli.Command) (caller.Request, error) {
	r := caller.Request{IdempotencyKey: c.String("key")}
	if service := c.String("service"); service != "" {
		r.Path = "/v1/services/" + service
		body, err := readBody(c.String("body"))
		r.Body = body
		return r, err
	}
	if c.String("model") == "" || c.String("prompt") == "" {
		return r, errors.New("either --model and --prompt or --service must be given")
	}
	r.Path = chat.Path
	body, err := json.Marshal(chat.Request{
		Model:     c.String("model"),
		Messages:  []chat.Message{{Role: "user", Content: c.String("prompt")}},
		MaxTokens: c.Int64("max-tokens"),
		Stream:    c.Bool("stream"),
	})
	r.Body = body
	return r, errors.Wrap(err, "encoding the request")
}

// readBody returns text, or the content of standard input if text is "-".
func readBody(text string) ([]byte, error) {
	if text != "-" {
		return []byte(text), nil
	}
	body, err := io.ReadAll(os.Stdin)
	return body, errors.Wrap(err, "reading standard input")
}
