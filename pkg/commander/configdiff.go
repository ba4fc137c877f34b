package commander

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/pmezard/go-difflib/difflib"

	"github.com/stoathitch/stoathitch/pkg/assembler"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// contextLines is how many equal lines stand around a difference.
const contextLines = 3

// configDiffCommand compares two versions.
type configDiffCommand struct {
	remoteOptions
	Arguments struct {
		From uint64 `positional-arg-name:"FROM" description:"a version (default: the one before TO)"`
		To   uint64 `positional-arg-name:"TO" description:"a version (default: the newest)"`
	} `positional-args:"yes"`
}

// configDifference is the result as JSON.
type configDifference struct {
	From identifier.ConfigVersion `json:"from"`
	To   identifier.ConfigVersion `json:"to"`
	Diff string                   `json:"diff"`
}

// Execute asks a keeper for both versions and compares them.
func (command *configDiffCommand) Execute(_ []string) error {
	versions, err := command.history()
	if err != nil {
		return err
	}
	difference, err := command.compare(versions)
	if err != nil {
		return err
	}
	if command.JSON {
		return command.terminal.printJSON(difference)
	}
	if difference.Diff == "" {
		return nil
	}
	return command.terminal.printLine("%s", strings.TrimSpace(difference.Diff))
}

func (command *configDiffCommand) compare(versions []assembler.ConfigBody) (*configDifference, error) {
	result := &configDifference{
		From: identifier.ConfigVersion(command.Arguments.From),
		To:   identifier.ConfigVersion(command.Arguments.To),
	}
	if result.To == 0 && len(versions) > 0 {
		result.To = versions[len(versions)-1].Version.Version
	}
	if result.From == 0 && result.To > 0 {
		result.From = result.To - 1
	}
	before, err := documentOf(versions, result.From)
	if err != nil {
		return nil, err
	}
	after, err := documentOf(versions, result.To)
	if err != nil {
		return nil, err
	}
	result.Diff, err = difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(before), B: difflib.SplitLines(after),
		FromFile: "version " + number(result.From), ToFile: "version " + number(result.To), Context: contextLines,
	})
	if err != nil {
		return nil, failed("the versions can't be compared: %v", err)
	}
	return result, nil
}

// documentOf returns a version's document, one value a line. Version 0 is the one
// before the first: an empty document.
func documentOf(versions []assembler.ConfigBody, wanted identifier.ConfigVersion) (string, error) {
	if wanted == 0 {
		return "", nil
	}
	for _, version := range versions {
		if version.Version.Version == wanted {
			return indented(version.Document), nil
		}
	}
	return "", failed("version %d is not among the kept versions", wanted)
}

func indented(document []byte) string {
	var buffer bytes.Buffer
	if json.Indent(&buffer, document, "", "  ") != nil {
		return string(document)
	}
	buffer.WriteByte('\n')
	return buffer.String()
}
