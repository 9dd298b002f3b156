// Command driver3 plays the scripted cases of the third review: it starts the project's
// program as the deploy file does, with stand-ins for the platform, workers and requesters.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// environment is what a case is played in.
type environment struct {
	root, dir string
	log       *record
	trouble   bool
}

func main() { os.Exit(run()) }

func run() int {
	cases := map[string]func(*environment) (int, error){"orphan": orphan, "lateorder": lateOrder, "plainanswer": plainAnswer, "grace": grace}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver3 CASE FOLDER")
		return failed
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	log, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	e := &environment{root: root, dir: dir, log: log, trouble: os.Getenv("TROUBLE") != "0"}
	status, err := cases[os.Args[1]](e)
	if err != nil {
		log.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	log.add("exit status %d", status)
	return status
}

// configuration returns the operator's configuration with one model service and one route to it.
func configuration(models []modelSpec) []byte {
	list := []object{}
	for _, m := range models {
		list = append(list, object{"name": m.name, "weights_mb": m.mb, "load_time_s": 6.0, "adapters": 0, "adapter_mb": 12.0, "warm_s": 0.4, "disk_s": diskLoad.Seconds()})
	}
	text, _ := json.Marshal(object{
		"version": 7,
		"routes": []object{{
			"name": "r-1", "host": "ficu95.example", "path_prefix": "/lohu930/", "kind": "stream", "timeout_ms": 12000, "slo_ms": 2500, "priority": 1,
			"service": "huvo11a", "max_attempts": 2, "sticky": true, "can_resume": true, "gap_aim_ms": 300,
		}},
		"services": []object{{
			"name": "huvo11a", "health_path": "/health", "max_conns": 250, "protocol": "h1", "tls": false,
			"engine": object{"slots": workerSlots, "kv_capacity": 118947, "token_kv_bytes": 327680, "weights_mb": weightsMB, "lora_slots": 8, "loads_per_s": 6.8, "models": list},
		}},
		"limits": object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}) // maps of strings and numbers always encode
	return text
}
