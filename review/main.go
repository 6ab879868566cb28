package main

import (
	"fmt"
	"os"
)

// cases are the cases by their names; each reports whether the rule was broken.
var cases = map[string]func(r *record, trouble bool) (broken bool, err error){
	"early":  early,
	"revoke": revoke,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		os.Exit(2)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.add("the case could not run: %v", err)
		os.Exit(2)
	case broken:
		r.add("BROKEN")
		os.Exit(1)
	}
	r.add("held")
}
