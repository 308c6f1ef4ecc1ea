package command

import (
	"context"
	"fmt"
	"net/url"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/pmezard/go-difflib/difflib"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"github.com/foxtaillanding/foxtaillanding/internal/operators"
)

func settingsCommand() *cli.Command {
	path := &cli.StringFlag{Name: "path", Usage: "`PATH` in the tree: Fleet or Teams/NAME", Required: true}
	file := &cli.StringFlag{Name: "file", Usage: "TOML `FILE` with the subtree", Required: true}
	return &cli.Command{
		Name:  "settings",
		Usage: "read and change the settings tree",
		Commands: []*cli.Command{
			{Name: "get", Usage: "print a subtree to standard output and its revision to standard error", Flags: operatorFlags(path), Action: getSettings},
			{Name: "diff", Usage: "compare a file with the subtree in force", Flags: operatorFlags(path, file), Action: diffSettings},
			{
				Name:  "set",
				Usage: "replace a subtree",
				Flags: operatorFlags(path, file,
					&cli.Uint64Flag{Name: "base", Required: true, Usage: "`REVISION` of the subtree on which the file is based; 0 for a new subtree"},
					&cli.StringFlag{Name: "change", Usage: "`ID` of the change, generated if omitted; to retry an unconfirmed change, pass the ID from its error message"}),
				Action: setSettings,
			},
			{Name: "status", Usage: "show the revision in force on each VM", Flags: operatorFlags(), Action: settingsStatus},
		},
	}
}

// subtreePath returns the path and query of the operators' call for the subtree that the flags name.
func subtreePath(c *cli.Command) string {
	return operators.SettingsPath + "?Path=" + url.QueryEscape(c.String("path"))
}

func getSettings(_ context.Context, c *cli.Command) error {
	resp, err := newOperatorClient(c).call(fasthttp.MethodGet, subtreePath(c), nil)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(c.Root().ErrWriter, "revision %s\n", resp.pathRevision); err != nil {
		return err
	}
	_, err = fmt.Fprint(c.Root().Writer, string(resp.body))
	return err
}

func diffSettings(_ context.Context, c *cli.Command) error {
	text, err := os.ReadFile(c.String("file"))
	if err != nil {
		return errors.Wrap(err, "reading the file of the subtree")
	}
	resp, err := newOperatorClient(c).call(fasthttp.MethodGet, subtreePath(c), nil)
	if err != nil {
		return err
	}
	diff, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:        difflib.SplitLines(string(resp.body)),
		B:        difflib.SplitLines(string(text)),
		FromFile: c.String("path") + " revision " + resp.pathRevision,
		ToFile:   c.String("file"),
		Context:  3,
	})
	if err != nil {
		return errors.Wrap(err, "comparing the subtrees")
	}
	_, err = fmt.Fprint(c.Root().Writer, diff)
	return err
}

func setSettings(_ context.Context, c *cli.Command) error {
	text, err := os.ReadFile(c.String("file"))
	if err != nil {
		return errors.Wrap(err, "reading the file of the subtree")
	}
	id := c.String("change")
	if id == "" {
		id = uuid.NewString()
	}
	query := fmt.Sprintf("%s&Base=%d&Change=%s", subtreePath(c), c.Uint64("base"), url.QueryEscape(id))
	resp, err := newOperatorClient(c).call(fasthttp.MethodPut, query, text)
	if err != nil {
		return errors.Wrapf(err, "change %s", id)
	}
	_, err = fmt.Fprintf(c.Root().Writer, "accepted as revision %s\n", resp.revision)
	return err
}

func settingsStatus(_ context.Context, c *cli.Command) error {
	var status operators.Status
	if err := newOperatorClient(c).get(operators.StatusPath, &status); err != nil {
		return err
	}
	var highest uint64
	for _, m := range status.Members {
		highest = max(highest, m.Revision)
	}
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "%-24s %-10s %9s %7s\n", "VM", "STATE", "REVISION", "BEHIND")
	for _, m := range status.Members {
		_, _ = fmt.Fprintf(&text, "%-24s %-10s %9d %7d\n", m.VM, m.State, m.Revision, highest-m.Revision)
	}
	_, err := fmt.Fprint(c.Root().Writer, text.String())
	return err
}
