package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// Main runs a command line and returns the exit code of the process; SIGINT and SIGTERM cancel the context of the command.
func Main(app *cli.Command, args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := app.Run(ctx, args); err != nil {
		_, _ = fmt.Fprintln(app.ErrWriter, "error:", err)
		return 1
	}
	return 0
}

// Foxtaillanding returns the command line for the routers, their operators and their callers; hangup is from CatchHangup.
func Foxtaillanding(out, errOut io.Writer, hangup <-chan os.Signal) *cli.Command {
	return &cli.Command{
		Name:            "foxtaillanding",
		Usage:           "route requests to model engines and services within prepaid token budgets",
		Writer:          out,
		ErrWriter:       errOut,
		HideHelpCommand: true,
		ExitErrHandler:  func(context.Context, *cli.Command, error) {},
		Before:          setSignals,
		Commands: []*cli.Command{
			routerCommand(hangup),
			gatewayCommand(hangup),
			devCommand(),
			checkCommand(),
			entryCommand(),
			callCommand(),
			statusCommand(),
			settingsCommand(),
			budgetCommand(),
			reportCommand(),
			explainCommand(),
		},
	}
}

// Standin returns the command line that runs stand-ins for the platform and the endpoints.
func Standin(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:            "standin",
		Usage:           "stand-ins for the platform and the endpoints, for tests",
		Writer:          out,
		ErrWriter:       errOut,
		HideHelpCommand: true,
		ExitErrHandler:  func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			standinStoreCommand(),
			standinEngineCommand(),
			standinServiceCommand(),
			standinVMsCommand(),
			standinServerCommand(),
		},
	}
}
