// Command foxtaillanding is the router daemon and the command line of its operators and callers.
package main

import (
	"os"

	"github.com/foxtaillanding/foxtaillanding/internal/command"
)

func main() {
	os.Exit(command.Main(command.Foxtaillanding(os.Stdout, os.Stderr), os.Args))
}
