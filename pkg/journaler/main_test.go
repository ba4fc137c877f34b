package journaler_test

import (
	"flag"
	"os"
	"testing"
)

const longRunChecks = "20000"

// TestMain fixes the seed so that CI runs the same sequences each time. With -long the seed is
// random and the number of checks is higher.
func TestMain(m *testing.M) {
	long := flag.Bool("long", false, "fuzz longer, with a random seed")
	flag.Parse()
	explicit := false
	flag.Visit(func(given *flag.Flag) {
		explicit = explicit || given.Name == "rapid.seed" || given.Name == "rapid.checks"
	})
	switch {
	case *long:
		set("rapid.checks", longRunChecks)
	case !explicit:
		set("rapid.seed", "1")
		set("rapid.checks", "1500")
	}
	os.Exit(m.Run())
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
