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

// setSignals sets which signals end a command.
//
// A daemon serves on when the reader of its log has gone, so that SIGPIPE must not end it. Any other command ends with its
// terminal, so that SIGHUP gets its default action back.
func setSignals(ctx context.Context, c *cli.Command) (context.Context, error) {
	if slices.Contains(daemons, c.Args().First()) {
		signal.Ignore(syscall.SIGPIPE)
	} else {
		signal.Reset(syscall.SIGHUP)
	}
	return ctx, nil
}
