// The rig of the second review: stand-ins of clients, servers and the platform's store around router processes.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(w *world) bool{}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE, with RECORD set to a file")
		os.Exit(2)
	}
	w := newWorld()
	broken := cases[os.Args[1]](w)
	cleanUp()
	if broken {
		w.rec.add("verdict: the rule was broken")
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	w.rec.add("verdict: the rule held")
	fmt.Println("the rule held")
}
