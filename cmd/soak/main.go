// Command soak runs the real programs as processes and injects faults from outside them; see the package soak.
package main

import (
	"os"

	"github.com/foxtaillanding/foxtaillanding/internal/command"
)

func main() {
	os.Exit(command.Main(command.Soak(os.Stdout, os.Stderr), os.Args))
}
