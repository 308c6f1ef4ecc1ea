package command

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"github.com/foxtaillanding/foxtaillanding/internal/operators"
	"github.com/foxtaillanding/foxtaillanding/pkg/burn"
	"github.com/foxtaillanding/foxtaillanding/pkg/settings"
)

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "reports over all routers",
		Commands: []*cli.Command{{
			Name:  "burn",
			Usage: "service levels and how fast their error budgets burn, over 5 minutes and 1 hour",
			Flags: operatorFlags(
				&cli.BoolFlag{Name: "json", Usage: "print JSON"},
				&cli.StringFlag{Name: "html", Usage: "write a page with plots to `FILE`"}),
			Action: reportBurn,
		}},
	}
}

func reportBurn(_ context.Context, c *cli.Command) error {
	report, err := collectBurn(newOperator(c))
	if err != nil {
		return err
	}
	if file := c.String("html"); file != "" {
		page, err := burnPage(report)
		if err != nil {
			return err
		}
		if err := os.WriteFile(file, page, 0o644); err != nil {
			return errors.Wrap(err, "writing the page")
		}
	}
	if c.Bool("json") {
		return printJSON(c, report)
	}
	_, err = fmt.Fprint(c.Root().Writer, burnText(report))
	return err
}

// collectBurn asks every router that the settings name; one that does not answer is listed as missing.
func collectBurn(o *operator) (burn.Report, error) {
	answer, err := o.call(fasthttp.MethodGet, operators.SettingsPath+"?Path="+settings.FleetPath, nil)
	if err != nil {
		return burn.Report{}, err
	}
	fleet, err := settings.ParseFleet(settings.FleetPath, answer.body)
	if err != nil {
		return burn.Report{}, err
	}
	var routers [][]burn.Row
	var missing []string
	for _, vm := range fleet.VMs {
		one := *o
		one.routers = []string{vm.Address}
		var rows []burn.Row
		if err := one.get(operators.BurnPath, &rows); err != nil {
			missing = append(missing, vm.Name)
			continue
		}
		routers = append(routers, rows)
	}
	return burn.Merge(routers, missing), nil
}

func burnText(report burn.Report) string {
	var text strings.Builder
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(&text, format+"\n", args...) }
	line("%-16s %-18s %-16s %8s %9s %9s %8s %9s", "TEAM", "SERVICE", "LEVEL", "TARGET %", "EVENTS 1H", "MISSED 1H", "BURN 5M", "BURN 1H")
	for _, r := range report.Rows {
		line("%-16s %-18s %-16s %8.2f %9d %9d %8.2f %9.2f", r.Team, r.Service, r.Level, r.TargetPercent,
			r.Long.Total(), r.Long.Bad, r.Rate(r.Short), r.Rate(r.Long))
	}
	for _, vm := range report.Missing {
		line("MISSING: the router on %s did not answer; its requests are not in this report", vm)
	}
	return text.String()
}
