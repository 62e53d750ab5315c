// Command camphor-demo starts a whole fleet on loopback, loads it, breaks parts
// of it and says whether the promises held.
package main

import (
	"flag"
	"fmt"
	"os"

	"camphorspoke/internal/check/demo"
	"camphorspoke/internal/check/fleet"
)

func main() {
	bin := flag.String("bin", "bin", "folder of the programs")
	flag.Parse()
	broken := 0
	for _, s := range []fleet.Shape{fleet.Skeena(), fleet.Hanbit()} {
		r, err := demo.Run(*bin, s)
		if err != nil {
			fmt.Fprintln(os.Stderr, "camphor-demo:", err)
			os.Exit(1)
		}
		r.Print(os.Stdout)
		broken += len(r.Broken)
	}
	if broken > 0 {
		os.Exit(1)
	}
}
