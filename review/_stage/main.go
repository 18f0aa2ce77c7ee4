// Command stage runs the scripts of the review: it starts the project's program as separate processes
// among stand-ins of the platform's store, servers and clients.
//
//	stage CASE FOLDER
//
// CASE is the number of a case, and FOLDER the one for record.txt. It exits with 1 if the rule was
// broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 the disruption is left out.
package main

import (
	"fmt"
	"os"
	"sync"
)

var (
	exitMu    sync.Mutex
	exitFuncs []func()
)

func onExit(f func()) {
	exitMu.Lock()
	defer exitMu.Unlock()
	exitFuncs = append(exitFuncs, f)
}

// exit undoes what was started and ends the process.
func exit(code int) {
	exitMu.Lock()
	for i := len(exitFuncs) - 1; i >= 0; i-- {
		exitFuncs[i]()
	}
	os.Exit(code)
}

func fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case can't run: "+format+"\n", args...)
	exit(2)
}

func main() {
	if len(os.Args) != 3 {
		fatal("want a case and a folder")
	}
	run := cases[os.Args[1]]
	if run == nil {
		fatal("no case %q", os.Args[1])
	}
	if _, err := os.Stat(program); err != nil {
		fatal("%v: build it as the deploy file does", err)
	}
	r := newRecord(os.Args[2])
	broken := run(r, os.Getenv("TROUBLE") != "0")
	if broken {
		r.say("the rule was broken")
		exit(1)
	}
	r.say("the rule held")
	exit(0)
}
