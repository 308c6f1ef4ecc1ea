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
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show a request's way through the logs of all routers, in order of time",
		ArgsUsage: "REQUEST FILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() < 2 {
				return errors.New("explain needs the ID of a request and at least one log file")
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

// logLine is one line of a log, as far as explain reads it.
type logLine struct {
	Time    time.Time
	Event   string
	Request string
	Run     string

	file string
	text string
}

// String returns the line as it is shown.
func (l logLine) String() string {
	return l.Time.Format("15:04:05.000") + " " + filepath.Base(l.file) + " " + l.text
}

// beliefs are the events that changed what a router believed; the last ones before a request's end explain it.
var beliefs = []string{"store lost", "store regained", "configuration in force", "members changed", "started", "stopping"}

// beliefsShown is the number of such lines of a router that are shown.
const beliefsShown = 3

// explain returns the lines about a request, and what each router that touched it had come to believe before.
func explain(request string, files []string) ([]logLine, error) {
	var found []logLine
	runs := map[string]bool{request: true}
	before := map[string][]logLine{}
	for pass := range 2 { // The first pass finds the request's runs, which other routers name it by.
		for _, file := range files {
			err := eachLine(file, func(l logLine) {
				switch {
				case pass == 0 && l.Request == request && l.Run != "":
					runs[l.Run] = true
				case pass == 1 && (l.Request == request || runs[l.Run] || runs[l.Request]):
					found = append(found, l)
				case pass == 1 && slices.Contains(beliefs, l.Event):
					before[file] = append(before[file], l)
				}
			})
			if err != nil {
				return nil, err
			}
		}
	}
	if len(found) == 0 {
		return nil, errors.Newf("no line of the given files names the request %q", request)
	}
	byTime(found)
	end := found[len(found)-1].Time
	touched := map[string]bool{}
	for _, l := range found {
		touched[l.file] = true
	}
	for file := range touched {
		found = append(found, lastBefore(before[file], end)...)
	}
	byTime(found)
	return found, nil
}

func byTime(lines []logLine) {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
}

func lastBefore(lines []logLine, end time.Time) []logLine {
	lines = slices.DeleteFunc(slices.Clone(lines), func(l logLine) bool { return l.Time.After(end) })
	return lines[max(0, len(lines)-beliefsShown):]
}

// eachLine calls f for each line of a log that can be read; other lines, such as one that a kill cut off, are passed over.
func eachLine(file string, f func(logLine)) error {
	in, err := os.Open(file)
	if err != nil {
		return errors.Wrap(err, "opening a log")
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
