// Command stoathitchd is the daemon: one process of the system, with the roles
// that its settings name.
package main

import (
	"os"

	"github.com/stoathitch/stoathitch/pkg/commander"
)

func main() { os.Exit(commander.RunDaemon(os.Args[1:])) }
