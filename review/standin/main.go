//go:build review

// Command standin runs the cases of the review that are scripts: stand-ins of the platform's store,
// of workers and of clients in this process, and the entry hosts as processes of their own.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// timeLimit bounds the time of a case, so that it ends all processes within two minutes.
const timeLimit = 110 * time.Second

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// cases holds the cases in the order of their folders, and further ones that have none.
var cases = map[string]func(*recorder, bool) (int, error){
	"foreign-entry":   foreignEntry,
	"wide-gang":       wideGang,
	"service-crashes": serviceCrashes,
	"prompt-cancels":  promptCancels,
	"leader-changes":  leaderChanges,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(notRun)
	}
	rec, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stopped
		closeAll()
		os.Exit(notRun)
	}()
	time.AfterFunc(timeLimit, func() {
		rec.event("not run: the time limit has passed")
		closeAll()
		os.Exit(notRun)
	})
	code, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	closeAll()
	if err != nil {
		rec.event("not run: %v", err)
		code = notRun
	}
	rec.event("exit code %d", code)
	rec.close()
	fmt.Println("exit code", code)
	os.Exit(code)
}

// current is the fleet of the case.
var current *fleet

func closeAll() {
	if current != nil {
		current.close()
	}
}
