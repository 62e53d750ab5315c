// Command standin3 plays the scripts of this review: it starts daemons as the deploy file does, with
// stand-ins of runners, clients, the operator and the platform, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0
// in the environment it does the same without the disruption.
package main

import (
	"flag"
	"fmt"
	"os"
)

// cases holds the cases by name.
var cases = map[string]func(rec *recorder, root string, trouble bool) error{
	"in-place":          inPlace,
	"software-versions": softwareVersions,
	"frozen-public":     frozenPublic,
	"last-tenant":       lastTenant,
}

func main() { os.Exit(play()) }

func play() int {
	root := flag.String("root", ".", "the repository")
	record := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	flag.Parse()
	play, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Println("unknown case:", flag.Arg(0))
		return 2
	}
	rec, err := newRecorder(*record)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	if err := play(rec, *root, os.Getenv("TROUBLE") != "0"); err != nil {
		rec.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	if n := rec.count(); n > 0 {
		fmt.Println("broken:", n)
		return 1
	}
	fmt.Println("held")
	return 0
}
