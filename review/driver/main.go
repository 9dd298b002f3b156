package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the scripted cases by name. The functions return the exit code.
var cases = map[string]func(d *deployment, trouble bool) (int, error){
	"foreign-entry":     foreignEntry,
	"owner-turned-away": ownerTurnedAway,
	"slow-reader":       slowReader,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE RECORD DIR")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

// run runs one case.
func run(name, recordPath, dir string) int {
	r, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	d := newDeployment(dir, r)
	defer d.stop()
	code, err := cases[name](d, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return code
}
