// Package seeder gives the random tests of a package a fixed seed, so that CI
// has the same verdict on each run. A test file imports it for its effect:
//
//	import _ "github.com/stoathitch/stoathitch/pkg/seeder"
//
// The flag -rapid.seed on the command line still goes first; 0 means a random
// seed. Only tests import this package.
package seeder

import (
	"flag"
	"fmt"

	// Importing rapid puts its init before this one, so that its flag is there.
	_ "pgregory.net/rapid"
)

// seed is any number but 0, which would mean a random seed.
const seed = "20261202"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(fmt.Sprintf("rapid has no flag for its seed: %v", err))
	}
}
