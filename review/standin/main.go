// Command standin runs one case of the review: it starts real daemons on loopback
// addresses, together with stand-ins for the platform, the backend servers, the clients
// and the operator, and judges what these have seen.
//
// Exit codes: 0 the rule held, 1 the rule was broken, 2 the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxRun bounds a run, so that every process that it started is ended in time.
const maxRun = 115 * time.Second

// cases holds the function of each case by name. It returns whether the rule was broken.
var cases = map[string]func(*Env) (broken bool, err error){
	"grey-503":          grey503,
	"odd-entry":         oddEntry,
	"drain-long-stream": drainLongStream,
	"cut-in-event":      cutInEvent,
	"unreadable-entry":  unreadableEntry,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	f, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "standin: unknown case", name)
		return exitFailed
	}
	env, err := newEnv(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitFailed
	}
	defer env.Close()
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := f(env)
		done <- outcome{broken: broken, err: err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	select {
	case o := <-done:
		return env.verdict(o.broken, o.err)
	case <-interrupted:
		return env.verdict(false, fmt.Errorf("interrupted"))
	case <-time.After(maxRun):
		return env.verdict(false, fmt.Errorf("the case did not end within %v", maxRun))
	}
}

// Env is the environment of one run: its record, its temporary folder, its ports and its
// processes.
type Env struct {
	*Record
	// Trouble is false if the case runs without its disruption.
	Trouble bool
	// Dir is a temporary folder that is removed at the end.
	Dir string
	// Root is the folder of the repository.
	Root string

	fleets []*Fleet
}

func newEnv(folder string) (*Env, error) {
	folder, err := filepath.Abs(folder)
	if err != nil {
		return nil, err
	}
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "camphor-review-")
	if err != nil {
		return nil, err
	}
	return &Env{
		Record:  record,
		Trouble: os.Getenv("TROUBLE") != "0",
		Dir:     dir,
		Root:    filepath.Dir(filepath.Dir(folder)),
	}, nil
}

// Close ends all processes that the run started.
func (e *Env) Close() {
	for _, f := range e.fleets {
		f.Close()
	}
	os.RemoveAll(e.Dir)
}

func (e *Env) verdict(broken bool, err error) int {
	code, text := exitHeld, "the rule held"
	switch {
	case err != nil:
		code, text = exitFailed, "the case could not run: "+err.Error()
	case broken:
		code, text = exitBroken, "the rule was broken"
	}
	e.Log("verdict", "text", text, "trouble", e.Trouble)
	fmt.Println(text)
	e.Record.Close()
	return code
}
