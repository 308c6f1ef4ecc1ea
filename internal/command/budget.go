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
				Usage:  "show the prepaid, spent, free and held tokens of a budget",
				Flags:  operatorFlags(budget, &cli.BoolFlag{Name: "json", Usage: "print JSON"}),
				Action: showBudget,
			},
			{
				Name:  "top-up",
				Usage: "add prepaid tokens; a repeated ID adds nothing",
				Flags: operatorFlags(budget,
					&cli.Int64Flag{Name: "tokens", Required: true, Usage: "number `N` of tokens to add"},
					&cli.StringFlag{Name: "id", Usage: "`ID` of the top-up, generated if omitted; to retry an unconfirmed top-up, pass the ID from its error message"}),
				Action: topUp,
			},
			{
				Name:  "close",
				Usage: "release the tokens held by a lost router; safe only if its VM will never run again",
				Flags: operatorFlags(budget,
					&cli.StringFlag{Name: "holder", Required: true, Usage: "`NAME` of the holder, as budget show prints it"},
					&cli.BoolFlag{Name: "yes", Usage: "confirm that the holder will never run again"}),
				Action: closeHolder,
			},
		},
	}
}

// budgetPath returns the path of the operators' calls for the budget that the flags name, followed by suffix.
func budgetPath(c *cli.Command, suffix string) string {
	return "/Admin/Budgets/" + url.PathEscape(c.String("budget")) + suffix
}

func showBudget(_ context.Context, c *cli.Command) error {
	var state operators.BudgetState
	if err := newOperatorClient(c).get(budgetPath(c, ""), &state); err != nil {
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
		return errors.New("closing a holder that is still running lets the budget be overspent; confirm with --yes")
	}
	return postBudget(c, "/Close", operators.Close{Holder: c.String("holder")}, "close")
}

// postBudget posts a change of a budget and prints the resulting state; action names the change in errors.
func postBudget(c *cli.Command, suffix string, change any, action string) error {
	body, err := json.Marshal(change)
	if err != nil {
		return errors.Wrap(err, "encoding the request")
	}
	resp, err := newOperatorClient(c).call(fasthttp.MethodPost, budgetPath(c, suffix), body)
	if err != nil {
		return errors.Wrap(err, action)
	}
	var state operators.BudgetState
	if err := json.Unmarshal(resp.body, &state); err != nil {
		return errors.Wrap(err, "decoding a router's response")
	}
	return printBudget(c, state)
}
