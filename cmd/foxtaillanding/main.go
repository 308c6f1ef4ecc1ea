// Command foxtaillanding runs the router daemons and provides the command line for their operators and callers.
package main

import (
	"os"

	"github.com/foxtaillanding/foxtaillanding/internal/command"
)

func main() {
	hangup := command.CatchHangup()
	os.Exit(command.Main(command.Foxtaillanding(os.Stdout, os.Stderr, hangup), os.Args))
}
