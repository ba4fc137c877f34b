// Command stoathitch is the command-line tool for callers and operators.
package main

import (
	"os"

	"github.com/stoathitch/stoathitch/pkg/commander"
)

func main() { os.Exit(commander.RunTool(os.Args[1:])) }
