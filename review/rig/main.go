// Command rig plays the cases of the review with the project's programs as separate processes.
//
// Usage: rig CASE DIR. It writes DIR/record.txt and exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

var (
	gatewayPath = "target/foxtaillanding"
	standinPath = "target/review-standin"
	trouble     = os.Getenv("TROUBLE") != "0"
	ending      atomic.Bool // The case is over and its processes are being ended.
	current     *fleet
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// cannot ends the case because it could not run.
func cannot(err error) {
	if ending.Swap(true) {
		select {} // The processes are being ended, so that calls to them fail.
	}
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	if current != nil {
		current.record.line("the case could not run: %v", err)
		current.stop()
	}
	os.Exit(exitCannot)
}

var cases = map[string]func(f *fleet) (broken bool){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE DIR")
		os.Exit(exitCannot)
	}
	// A program that is started by a process that ignores SIGHUP, for example under nohup, ignores it as well.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	out, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		cannot(err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		cannot(err)
	}
	current = &fleet{dir: dir, record: &record{out: out, begun: time.Now()}}
	time.AfterFunc(115*time.Second, func() { cannot(fmt.Errorf("the case took too long")) })
	broken := cases[os.Args[1]](current)
	ending.Store(true)
	current.stop()
	verdict, code := "the rule held", exitHeld
	if broken {
		verdict, code = "the rule was broken", exitBroken
	}
	current.record.line("%s", verdict)
	_ = out.Close()
	fmt.Println(verdict)
	os.Exit(code)
}
