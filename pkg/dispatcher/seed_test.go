package dispatcher_test

import "flag"

// init gives the fuzz tests a fixed seed; -rapid.seed and -rapid.checks on the
// command line go before it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
