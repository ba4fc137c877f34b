// Command stoathitchd-platform is one process of the system on the users' platform.
package main

import (
	"os"

	"github.com/stoathitch/stoathitch/platform/adapter"
)

func main() { os.Exit(adapter.Main(os.Stdout)) }
