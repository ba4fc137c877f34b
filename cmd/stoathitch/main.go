// Command stoathitch is the command-line tool for callers and operators.
package main

import (
	"os"

	"github.com/stoathitch/stoathitch/pkg/commander"
	"github.com/stoathitch/stoathitch/platform/soaker"
)

func main() {
	soak := commander.Extension{Name: soaker.Name, Short: soaker.Short, Long: soaker.Long, Data: &soaker.Command{}}
	os.Exit(commander.RunTool(os.Args[1:], soak))
}
