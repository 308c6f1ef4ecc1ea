package command

import (
	"context"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/urfave/cli/v3"
)

// CatchHangup catches SIGHUP until the process exits and returns the channel that receives it.
//
// It is the first thing a program does, because the default action of the signal ends the process.
func CatchHangup() <-chan os.Signal {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	return hangup
}

// daemons are the commands that serve callers.
var daemons = []string{"router", "gateway"}

// releaseHangup gives SIGHUP its default action back for a command that is no daemon, so that it ends with its terminal.
func releaseHangup(ctx context.Context, c *cli.Command) (context.Context, error) {
	if !slices.Contains(daemons, c.Args().First()) {
		signal.Reset(syscall.SIGHUP)
	}
	return ctx, nil
}
