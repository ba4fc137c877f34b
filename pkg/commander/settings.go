package commander

import (
	"errors"

	"github.com/jessevdk/go-flags"

	"github.com/stoathitch/stoathitch/pkg/loader"
)

func addSettingsCommands(parent *flags.Command, common commonOptions) {
	group := addCommand(parent, "settings", "Check or write settings files",
		"Checks the settings files of hosts, or writes those of a deployment on one machine.", &struct{}{})
	addCommand(group, "check", "Check settings files",
		"Checks settings files with the code that the daemon uses, and prints every problem with its file, line and path. Exit code 2 when there is one.",
		&settingsCheckCommand{commonOptions: common})
	addCommand(group, "init", "Write the settings of a deployment on one machine",
		"Writes DIR/<failure-domain>-entry-<n>.json for each host, all on 127.0.0.1. Host 0 of each failure domain is also a keeper; callers reach the i-th host at base port + i.",
		&settingsInitCommand{commonOptions: common})
}

// settingsCheckCommand checks settings files.
type settingsCheckCommand struct {
	commonOptions
	Arguments struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"the settings files"`
	} `positional-args:"yes"`
}

// checkedFile is the result for one file.
type checkedFile struct {
	File     string           `json:"file"`
	Right    bool             `json:"right"`
	Problems []loader.Problem `json:"problems"`
}

// Execute checks all files and reports all problems.
func (command *settingsCheckCommand) Execute(_ []string) error {
	results := make([]checkedFile, 0, len(command.Arguments.Files))
	wrong := 0
	for _, file := range command.Arguments.Files {
		result := checkFile(file)
		if !result.Right {
			wrong++
		}
		results = append(results, result)
	}
	if err := command.print(results); err != nil {
		return err
	}
	if wrong > 0 {
		return malformed("%d of %d settings files are wrong", wrong, len(results))
	}
	return nil
}

func checkFile(file string) checkedFile {
	result := checkedFile{File: file, Problems: []loader.Problem{}}
	_, err := loader.Load(file)
	var failure *loader.Error
	switch {
	case err == nil:
		result.Right = true
	case errors.As(err, &failure) && len(failure.Problems) > 0:
		result.Problems = failure.Problems
	default:
		result.Problems = []loader.Problem{{File: file, Line: 1, Message: err.Error()}}
	}
	return result
}

func (command *settingsCheckCommand) print(results []checkedFile) error {
	if command.JSON {
		return command.terminal.printJSON(results)
	}
	for _, result := range results {
		if result.Right {
			if err := command.terminal.printLine("%s: right", result.File); err != nil {
				return err
			}
		}
		for _, problem := range result.Problems {
			if err := command.terminal.printLine("%s", problem); err != nil {
				return err
			}
		}
	}
	return nil
}
