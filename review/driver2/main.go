// Command driver2 runs the scripts of the second review: it starts the stand-ins and the
// processes of a small deployment, and judges what the stand-ins have seen.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	couldntRun = 2
)

// cases holds the function of each case by name. dir is a temporary folder.
var cases = map[string]func(rec *record, dir string) (code int){
	"places": runPlaces,
	"reborn": runReborn,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run runs the case that args name, with the file for its record.
func run(args []string) int {
	const wanted = 2
	if len(args) != wanted || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver2 CASE RECORD")
		return couldntRun
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldntRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	rec, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldntRun
	}
	defer rec.close()
	return cases[args[0]](rec, dir)
}
