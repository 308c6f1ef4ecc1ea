package command

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"github.com/foxtaillanding/foxtaillanding/internal/operators"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the state of one router: VMs, endpoints, budgets, suspects",
		Flags: operatorFlags(&cli.BoolFlag{Name: "json", Usage: "print JSON"}),
		Action: func(_ context.Context, c *cli.Command) error {
			resp, err := newOperatorClient(c).call(fasthttp.MethodGet, operators.StatusPath, nil)
			if err != nil {
				return err
			}
			status, err := operators.DecodeStatus(resp.body)
			if err != nil {
				return err
			}
			if c.Bool("json") {
				return printJSON(c, status)
			}
			_, err = fmt.Fprint(c.Root().Writer, statusText(status))
			return err
		},
	}
}

func statusText(s operators.Status) string {
	var text strings.Builder
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(&text, format+"\n", args...) }
	line("router %s: settings revision %d, %d in flight, %d waiting, %d orders open, draining %t",
		s.VM, s.Revision, s.InFlight, s.Waiting, s.OrdersOpen, s.Draining)
	line("\n%-24s %-16s %-10s %6s %9s", "VM", "DATA CENTRE", "STATE", "LOAD", "REVISION")
	for _, m := range s.Members {
		line("%-24s %-16s %-10s %6.2f %9d", m.VM, m.DataCentre, m.State, m.Load, m.Revision)
	}
	line("\n%-24s %8s %9s %8s %6s", "ENDPOINT", "RUNNING", "REPORTED", "LEAVING", "DOWN")
	for _, e := range s.Endpoints {
		line("%-24s %8d %9d %8t %6t", e.Name, e.Running, e.Reported.Running+e.Reported.Waiting, e.Leaving, e.Down)
	}
	line("\n%-24s %10s %10s %10s %8s", "BUDGET (tokens)", "HEADROOM", "RESERVED", "FREE", "WAITING")
	for _, b := range s.Budgets {
		line("%-24s %10d %10d %10d %8d", b.Budget, b.Headroom, b.Reserved, b.Free, b.Waiting)
	}
	for _, suspect := range s.Suspects {
		kind := "suspect"
		if suspect.Part {
			kind = "suspect part"
		}
		line("%s %016x: %d endpoint deaths, until %s", kind, suspect.Fingerprint, suspect.Deaths, suspect.Until.Format("15:04:05"))
	}
	return text.String()
}
