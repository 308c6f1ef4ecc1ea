package command

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/gateway"
	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/platform"
)

func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:  "gateway",
		Usage: "run the gateway of one entry VM on the platform until it is told to stop",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:     "settings",
				Usage:    "TOML `FILE` with the settings of this process",
				Sources:  cli.EnvVars("FOXTAILLANDING_CONFIG"),
				Required: true,
			},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and name the place of every fault, then stop"},
		},
		Action: runGateway,
	}
}

func readGatewaySettings(file string) (gateway.Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return gateway.Settings{}, errors.Wrap(err, "reading the settings")
	}
	return gateway.ReadSettings(file, text)
}

func runGateway(ctx context.Context, c *cli.Command) error {
	file := c.String("settings")
	seen := modified(file)
	settings, err := readGatewaySettings(file)
	if err != nil || c.Bool("check") {
		return err
	}
	boundMemory(settings.Memory)
	log, flush := logfile.New(os.Stdout)
	defer flush()
	const storeTimeout = time.Second
	g, err := gateway.New(gateway.Config{
		Settings: settings,
		Dialect:  platform.Dialect{},
		Store:    platform.NewStore(settings.Store.Address, storeTimeout),
		Log:      log,
	})
	if err != nil {
		return err
	}
	if err := g.Start(); err != nil {
		return err
	}
	reload(ctx, file, seen, g, log)
	g.Shutdown(time.Now())
	return nil
}

// lookEvery is the pause between two looks at the settings file, which may change without a signal.
const lookEvery = time.Second

// reload takes settings over that changed after seen until ctx ends; unreadable ones change nothing.
func reload(ctx context.Context, file string, seen time.Time, g *gateway.Gateway, log *zap.Logger) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-ticker.C:
			if now := modified(file); now.Equal(seen) {
				continue
			}
		}
		seen = modified(file)
		settings, err := readGatewaySettings(file)
		if err != nil {
			log.Error("settings not reloaded", zap.String("File", file), logfile.Error(err))
			continue
		}
		boundMemory(settings.Memory)
		g.Reload(time.Now(), settings)
	}
}

// modified returns when a file was last changed; zero when that cannot be told.
func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// boundMemory keeps the heap small: a process above its VM's limit is killed.
func boundMemory(m gateway.MemorySettings) {
	const (
		heapPart = 0.75 // Of the limit; the rest is for what the runtime does not count.
		gcPart   = 50   // Percent of growth between two collections.
		megabyte = 1 << 20
	)
	debug.SetGCPercent(gcPart)
	if m.LimitMegabytes > 0 {
		debug.SetMemoryLimit(int64(heapPart * float64(m.LimitMegabytes) * megabyte))
	}
}
