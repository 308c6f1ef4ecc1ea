package command

import (
	"bytes"
	"context"
	"os"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/foxtaillanding/foxtaillanding/internal/gateway"
	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/platform"
)

func gatewayCommand(hangup <-chan os.Signal) *cli.Command {
	return &cli.Command{
		Name:  "gateway",
		Usage: "run the gateway of one entry VM on the platform until a signal stops it",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:     "settings",
				Usage:    "TOML `FILE` with the settings of this process",
				Sources:  cli.EnvVars("FOXTAILLANDING_CONFIG"),
				Required: true,
			},
			&cli.BoolFlag{Name: "check", Usage: "validate the settings, print the place of each error, and exit"},
		},
		Action: func(ctx context.Context, c *cli.Command) error { return runGateway(ctx, c, hangup) },
	}
}

func runGateway(ctx context.Context, c *cli.Command, hangup <-chan os.Signal) error {
	file := c.String("settings")
	lastModified := modTime(file)
	text, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "reading the settings")
	}
	if c.Bool("check") {
		_, err := gateway.ReadSettings(file, text)
		return err
	}
	settings, problems, err := gateway.ReadStartSettings(file, text)
	if err != nil {
		return err
	}
	limitMemory(settings.Memory)
	log, flush := logfile.New(os.Stdout)
	defer flush()
	const storeTimeout = time.Second
	g, err := gateway.New(gateway.Config{
		Settings: settings,
		Features: platform.Features(settings.Platform.Contracts),
		Dialect:  platform.Dialect{},
		Store:    platform.NewStore(settings.Store.Address, storeTimeout),
		Log:      log,
	})
	if err != nil {
		return err
	}
	g.ReportUnusedSettings(problems)
	if err := g.Start(); err != nil {
		return err
	}
	go watchSettings(hangup, file, lastModified, g)
	<-ctx.Done()
	g.Shutdown(time.Now())
	return nil
}

// settingsPollInterval is the interval at which the modification time of the settings file is checked, because the file may
// change without a signal.
const settingsPollInterval = time.Second

// watchSettings reloads the settings on SIGHUP and when the modification time of the file changes from lastModified, until
// the process exits. If the new settings cannot be read or are invalid, it reports the error and the old ones stay in force.
func watchSettings(hangup <-chan os.Signal, file string, lastModified time.Time, g *gateway.Gateway) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-hangup:
		case <-ticker.C:
			if current := modTime(file); current.Equal(lastModified) {
				continue
			}
		}
		lastModified = modTime(file)
		settings, err := readChangedSettings(file)
		if err != nil {
			g.ReportUnloadedSettings(err)
			continue
		}
		limitMemory(settings.Memory)
		g.Reload(time.Now(), settings)
	}
}

// readChangedSettings reads the settings of a file that is perhaps still being written.
func readChangedSettings(file string) (gateway.Settings, error) {
	read := func() ([]byte, error) { return os.ReadFile(file) }
	text, err := readSettled(read, func() { time.Sleep(settleTime) })
	if err != nil {
		return gateway.Settings{}, errors.Wrap(err, "reading the settings")
	}
	return gateway.ReadSettings(file, text)
}

const (
	settleTime  = 100 * time.Millisecond // Time for which a settings file has to stay as it is.
	settleReads = 20                     // Reads after which a file that goes on changing is taken as it is.
)

// readSettled reads until two reads in a row give the same, with a pause between them. Settings of which only the first part
// has been written may be valid, but lack limits.
func readSettled(read func() ([]byte, error), pause func()) ([]byte, error) {
	text, err := read()
	for range settleReads {
		pause()
		last := text
		if text, err = read(); err == nil && bytes.Equal(text, last) {
			break
		}
	}
	return text, err
}

// modTime returns the modification time of a file, or the zero time if it cannot be read.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// limitMemory configures the garbage collector to keep the heap small, because a process that exceeds the memory limit of
// its VM is killed.
func limitMemory(m gateway.MemorySettings) {
	const (
		runtimeFraction = 0.75 // Fraction of the limit that the Go runtime may use; the rest is for memory that it does not count.
		gcPercent       = 50   // Heap growth in percent between two collections.
		megabyte        = 1 << 20
	)
	debug.SetGCPercent(gcPercent)
	if m.LimitMegabytes > 0 {
		debug.SetMemoryLimit(int64(runtimeFraction * float64(m.LimitMegabytes) * megabyte))
	}
}
