// Command soak runs the real programs as separate processes and injects faults from outside; see the package internal/soak.
package main

import (
	"os"

	"github.com/foxtaillanding/foxtaillanding/internal/command"
)

func main() {
	os.Exit(command.Main(command.Soak(os.Stdout, os.Stderr), os.Args))
}
