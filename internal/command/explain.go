package command

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/foxtaillanding/foxtaillanding/internal/ledger"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show the log lines of one request from all routers, ordered by time",
		ArgsUsage: "REQUEST FILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() < 2 {
				return errors.New("explain needs a request ID and at least one log file")
			}
			lines, err := explain(c.Args().First(), c.Args().Tail())
			if err != nil {
				return err
			}
			for _, l := range lines {
				if _, err := fmt.Fprintln(c.Root().Writer, l); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// logLine is one line of a log file; its exported fields are the logged fields that explain uses.
type logLine struct {
	Time    time.Time
	Event   string
	Request string
	Run     string // Run ID, by which other routers refer to the request.

	file string // Path of the log file.
	text string // The line as it was logged.
}

// String returns the line as explain prints it.
func (l logLine) String() string {
	return l.Time.Format("15:04:05.000") + " " + filepath.Base(l.file) + " " + l.text
}

// stateEvents are the events that start or stop a router or change its view of the store, the configuration or the members.
// The last ones before the end of a request help to explain its outcome.
var stateEvents = []string{"store lost", "store regained", "configuration in force", "members changed", "started", "stopping"}

// maxStateEvents is the maximum number of state events that explain prints for each log file.
const maxStateEvents = 3

// explain returns the lines about a request, ordered by time, and the last state events before the end of the request from
// each file that has such a line.
func explain(request string, files []string) ([]logLine, error) {
	var found []logLine
	runs := map[string]bool{request: true}
	stateLines := map[string][]logLine{}
	for pass := range 2 { // The first pass collects the request's run IDs, by which other routers refer to it.
		for _, file := range files {
			err := forEachLine(file, func(l logLine) {
				switch {
				case pass == 0 && l.Request == request && l.Run != "":
					runs[l.Run] = true
				case pass == 1 && (l.Request == request || runs[ledger.RunOfLoan(l.Run)] || runs[ledger.RunOfLoan(l.Request)]):
					found = append(found, l)
				case pass == 1 && slices.Contains(stateEvents, l.Event):
					stateLines[file] = append(stateLines[file], l)
				}
			})
			if err != nil {
				return nil, err
			}
		}
	}
	if len(found) == 0 {
		return nil, errors.Newf("no line of the log files refers to the request %q", request)
	}
	sortByTime(found)
	end := found[len(found)-1].Time
	matchedFiles := map[string]bool{}
	for _, l := range found {
		matchedFiles[l.file] = true
	}
	for file := range matchedFiles {
		found = append(found, lastBefore(stateLines[file], end)...)
	}
	sortByTime(found)
	return found, nil
}

func sortByTime(lines []logLine) {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
}

// lastBefore returns the last maxStateEvents of the lines that were logged up to end.
func lastBefore(lines []logLine, end time.Time) []logLine {
	lines = slices.DeleteFunc(slices.Clone(lines), func(l logLine) bool { return l.Time.After(end) })
	return lines[max(0, len(lines)-maxStateEvents):]
}

// forEachLine calls f for each line of a log file that contains a JSON object. Other lines, such as one that was cut off when
// the process was killed, are skipped.
func forEachLine(file string, f func(logLine)) error {
	in, err := os.Open(file)
	if err != nil {
		return errors.Wrap(err, "opening a log file")
	}
	defer func() { _ = in.Close() }()
	r := bufio.NewReader(in)
	for {
		text, err := r.ReadString('\n')
		if start := strings.IndexByte(text, '{'); start >= 0 {
			l := logLine{file: file, text: strings.TrimSpace(text[start:])}
			if json.Unmarshal([]byte(l.text), &l) == nil {
				f(l)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "reading %s", file)
		}
	}
}
