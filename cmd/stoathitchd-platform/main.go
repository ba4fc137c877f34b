// Command stoathitchd-platform runs one process of the product on the users' platform and exits with
// the code of adapter.Main.
package main

import (
	"os"

	"github.com/stoathitch/stoathitch/platform/adapter"
)

func main() { os.Exit(adapter.Main(os.Stdout)) }
