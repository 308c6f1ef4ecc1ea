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
		Usage: "print reports that cover all routers",
		Commands: []*cli.Command{{
			Name:  "burn",
			Usage: "print the service levels and the burn rates of their error budgets over 5 minutes and 1 hour",
			Flags: operatorFlags(
				&cli.BoolFlag{Name: "json", Usage: "print JSON"},
				&cli.StringFlag{Name: "html", Usage: "also write an HTML page with a plot to `FILE`"}),
			Action: reportBurn,
		}},
	}
}

func reportBurn(_ context.Context, c *cli.Command) error {
	report, err := collectBurn(newOperatorClient(c))
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

// collectBurn merges the rows of all routers in the settings; a router whose rows cannot be fetched is listed as missing.
func collectBurn(o *operatorClient) (burn.Report, error) {
	resp, err := o.call(fasthttp.MethodGet, operators.SettingsPath+"?Path="+settings.FleetPath, nil)
	if err != nil {
		return burn.Report{}, err
	}
	fleet, err := settings.ParseFleet(settings.FleetPath, resp.body)
	if err != nil {
		return burn.Report{}, err
	}
	var routers [][]burn.Row
	var missing []string
	for _, vm := range fleet.VMs {
		single := *o
		single.routers = []string{vm.Address}
		var rows []burn.Row
		if err := single.get(operators.BurnPath, &rows); err != nil {
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
