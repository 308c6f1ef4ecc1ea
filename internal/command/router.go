package command

import (
	"context"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/internal/router"
	"github.com/foxtaillanding/foxtaillanding/pkg/settings"
	"github.com/foxtaillanding/foxtaillanding/platform"
)

func settingsFlag() *cli.StringFlag {
	return &cli.StringFlag{
		Name:     "settings",
		Usage:    "TOML `FILE` with the settings",
		Sources:  cli.EnvVars("FOXTAILLANDING_SETTINGS"),
		Required: true,
	}
}

// readSettings reads and validates the settings file that the flag names.
func readSettings(c *cli.Command) (settings.Tree, error) {
	file := c.String("settings")
	text, err := os.ReadFile(file)
	if err != nil {
		return settings.Tree{}, errors.Wrap(err, "reading the settings")
	}
	return settings.ParseTree(file, text)
}

func routerCommand(hangup <-chan os.Signal) *cli.Command {
	return &cli.Command{
		Name:  "router",
		Usage: "run the router of one entry VM until a signal stops it",
		Flags: []cli.Flag{
			settingsFlag(),
			&cli.StringFlag{Name: "vm", Usage: "`NAME` of this VM in the settings", Sources: cli.EnvVars("FOXTAILLANDING_VM"), Required: true},
			&cli.StringFlag{Name: "listen", Usage: "`ADDRESS` to listen on, if it differs from the address of the VM in the settings"},
			&cli.DurationFlag{Name: "drain", Usage: "maximum `TIME` of a graceful shutdown", Value: 10 * time.Minute},
		},
		Action: func(ctx context.Context, c *cli.Command) error { return runRouter(ctx, c, hangup) },
	}
}

func runRouter(ctx context.Context, c *cli.Command, hangup <-chan os.Signal) error {
	tree, err := readSettings(c)
	if err != nil {
		return err
	}
	log, err := newLog()
	if err != nil {
		return err
	}
	ln, err := listen(c.String("listen"))
	if err != nil {
		return err
	}
	store := tree.Fleet.Store
	timeout := time.Duration(store.TimeoutMilliseconds) * time.Millisecond
	r, err := router.New(router.Config{
		VM:      c.String("vm"),
		Listen:  ln,
		Initial: tree,
		Store:   keyvalue.NewGuardedStore(platform.NewStore(store.Address, timeout), store.WritesPerSecond, store.ReadsPerSecond),
		Log:     log,
	})
	if err != nil {
		return err
	}
	go logHangups(hangup, log)
	if err := r.Start(ctx); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(c.Root().Writer, "serving on "+r.Address()); err != nil {
		return err
	}
	<-ctx.Done()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), c.Duration("drain"))
	defer cancel()
	return r.Shutdown(shutdownCtx)
}

// logHangups logs each SIGHUP, which changes nothing: the router follows its settings in the store.
func logHangups(hangup <-chan os.Signal, log *zap.Logger) {
	for range hangup {
		log.Info("hangup ignored")
	}
}

// listen opens a listener on address. It returns nil if address is empty; the router then listens on the address of its VM in
// the settings.
func listen(address string) (net.Listener, error) {
	if address == "" {
		return nil, nil
	}
	ln, err := net.Listen("tcp4", address)
	return ln, errors.Wrapf(err, "listening on %s", address)
}

// newLog returns a logger that writes JSON lines to standard error.
func newLog() (*zap.Logger, error) {
	cfg := zap.NewProductionConfig()
	cfg.Sampling = nil
	cfg.EncoderConfig.TimeKey = "Time"
	cfg.EncoderConfig.LevelKey = "Level"
	cfg.EncoderConfig.MessageKey = "Event"
	cfg.EncoderConfig.CallerKey = ""
	cfg.EncoderConfig.EncodeTime = func(t time.Time, enc zapcore.PrimitiveArrayEncoder) {
		enc.AppendString(t.UTC().Format(time.RFC3339Nano))
	}
	log, err := cfg.Build()
	return log, errors.Wrap(err, "creating the logger")
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "validate a settings file and print the place of each error",
		Flags: []cli.Flag{settingsFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			tree, err := readSettings(c)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.Root().Writer, "%s: %d VMs, %d endpoints, %d teams: no fault found\n",
				c.String("settings"), len(tree.Fleet.VMs), len(tree.Fleet.Endpoints), len(tree.Teams))
			return err
		},
	}
}
