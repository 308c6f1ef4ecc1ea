package command

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/url"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"github.com/foxtaillanding/foxtaillanding/internal/operators"
)

func budgetCommand() *cli.Command {
	budget := &cli.StringFlag{Name: "budget", Usage: "`NAME` of the budget", Required: true}
	return &cli.Command{
		Name:  "budget",
		Usage: "show and top up prepaid budgets",
		Commands: []*cli.Command{
			{
				Name:   "show",
				Usage:  "show what is prepaid, spent, free and held, in tokens",
				Flags:  operatorFlags(budget, &cli.BoolFlag{Name: "json", Usage: "print JSON"}),
				Action: showBudget,
			},
			{
				Name:  "top-up",
				Usage: "add prepaid tokens; the same ID counts once",
				Flags: operatorFlags(budget,
					&cli.Int64Flag{Name: "tokens", Required: true, Usage: "`N` tokens to add"},
					&cli.StringFlag{Name: "id", Usage: "`ID` of the top-up; give the printed one again to repeat a top-up that was not confirmed"}),
				Action: topUp,
			},
			{
				Name:  "close",
				Usage: "free what a lost router held; only when its VM will never run again",
				Flags: operatorFlags(budget,
					&cli.StringFlag{Name: "holder", Required: true, Usage: "`NAME` of the holder, as budget show prints it"},
					&cli.BoolFlag{Name: "yes", Usage: "confirm that the holder will never run again"}),
				Action: closeHolder,
			},
		},
	}
}

func budgetPath(c *cli.Command, rest string) string {
	return "/Admin/Budgets/" + url.PathEscape(c.String("budget")) + rest
}

func showBudget(_ context.Context, c *cli.Command) error {
	var state operators.BudgetState
	if err := newOperator(c).get(budgetPath(c, ""), &state); err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(c, state)
	}
	return printBudget(c, state)
}

func printBudget(c *cli.Command, state operators.BudgetState) error {
	w := c.Root().Writer
	_, err := fmt.Fprintf(w, "budget %s, in tokens\n  prepaid %12d\n  spent   %12d\n  free    %12d\n",
		state.Record.Budget, state.Prepaid, state.Spent, state.Free)
	for _, name := range slices.Sorted(maps.Keys(state.Held)) {
		note := ""
		if slices.Contains(state.Lost, name) {
			note = "  (no live router: held until closed)"
		}
		if err == nil {
			_, err = fmt.Fprintf(w, "  held    %12d by %s%s\n", state.Held[name], name, note)
		}
	}
	return err
}

func topUp(_ context.Context, c *cli.Command) error {
	id := c.String("id")
	if id == "" {
		id = uuid.NewString()
	}
	return postBudget(c, "/TopUps", operators.TopUp{ID: id, Tokens: c.Int64("tokens")}, "top-up "+id)
}

func closeHolder(_ context.Context, c *cli.Command) error {
	if !c.Bool("yes") {
		return errors.New("closing a holder that still runs breaks the budget's limit; confirm with --yes")
	}
	return postBudget(c, "/Close", operators.Close{Holder: c.String("holder")}, "close")
}

func postBudget(c *cli.Command, rest string, message any, what string) error {
	body, err := json.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encoding the request")
	}
	answer, err := newOperator(c).call(fasthttp.MethodPost, budgetPath(c, rest), body)
	if err != nil {
		return errors.Wrap(err, what)
	}
	var state operators.BudgetState
	if err := json.Unmarshal(answer.body, &state); err != nil {
		return errors.Wrap(err, "decoding a router's answer")
	}
	return printBudget(c, state)
}
