// Command standin runs stand-ins for the platform and the endpoints, for tests.
package main

import (
	"os"

	"github.com/foxtaillanding/foxtaillanding/internal/command"
)

func main() {
	os.Exit(command.Main(command.Standin(os.Stdout, os.Stderr), os.Args))
}
