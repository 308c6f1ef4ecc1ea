package command

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/foxtaillanding/foxtaillanding/internal/soak"
)

// Soak returns the command line of the soak test.
func Soak(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:            "soak",
		Usage:           "run the programs as separate processes on this machine and inject faults from outside",
		Writer:          out,
		ErrWriter:       errOut,
		HideHelpCommand: true,
		ExitErrHandler:  func(context.Context, *cli.Command, error) {},
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "binaries", Usage: "`DIRECTORY` of the programs foxtaillanding and standin", Required: true},
			&cli.Uint64Flag{Name: "seed", Usage: "`SEED` of the first run; random if omitted"},
			&cli.IntFlag{Name: "runs", Usage: "number of runs; each uses the next seed", Value: 1},
			&cli.IntFlag{Name: "cycles", Usage: "number of cycles of fault injection and recovery in a run", Value: 2},
			&cli.IntFlag{Name: "routers", Usage: "number of gateways", Value: 4},
			&cli.IntFlag{Name: "servers", Usage: "number of servers of the service", Value: 3},
			&cli.IntFlag{Name: "callers", Usage: "number of concurrent callers", Value: 12},
			&cli.BoolFlag{Name: "pauses", Usage: "beside the other faults, pause servers, let them send responses twice, and reload the settings of routers"},
		},
		Action: runSoak,
	}
}

func runSoak(ctx context.Context, c *cli.Command) error {
	seed := c.Uint64("seed")
	if !c.IsSet("seed") {
		seed = rand.Uint64() >> 32
	}
	failed := 0
	for n := range c.Int("runs") {
		ok, err := soakOnce(ctx, c, seed+uint64(n))
		if err != nil {
			return err
		}
		if !ok {
			failed++
		}
	}
	if failed > 0 {
		return errors.Newf("%d of %d runs found problems", failed, c.Int("runs"))
	}
	return nil
}

// soakOnce carries out one run and reports whether it passed. It removes the logs of a run that passed.
func soakOnce(ctx context.Context, c *cli.Command, seed uint64) (bool, error) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return false, errors.Wrap(err, "creating the log directory")
	}
	log, err := os.Create(dir + "/soak.log")
	if err != nil {
		return false, errors.Wrap(err, "creating the log of the run")
	}
	defer func() { _ = log.Close() }()
	report, err := soak.Run(ctx, soak.Config{
		Binaries: c.String("binaries"), Dir: dir, Seed: seed, Cycles: c.Int("cycles"),
		Routers: c.Int("routers"), Servers: c.Int("servers"), Callers: c.Int("callers"), Pauses: c.Bool("pauses"), Log: log,
	})
	if err != nil {
		return false, errors.Wrapf(err, "seed %d, logs in %s", seed, dir)
	}
	out := c.Root().Writer
	if len(report.Problems) == 0 {
		_, err := fmt.Fprintf(out, "seed %d: %d calls, %d served, %d of %d broken streams went on, no problem\n", seed, report.Calls, report.Served, report.GoneOn, report.TakenUp)
		return true, errors.CombineErrors(err, os.RemoveAll(dir))
	}
	_, err = fmt.Fprintf(out, "seed %d: %d calls, %d served, %d problems, logs in %s\n", seed, report.Calls, report.Served, len(report.Problems), dir)
	for _, p := range report.Problems[:min(len(report.Problems), 20)] {
		_, err = fmt.Fprintln(out, "  "+p)
	}
	return false, err
}
