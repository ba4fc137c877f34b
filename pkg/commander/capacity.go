package commander

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/stoathitch/stoathitch/pkg/sizer"
)

// capacityCommand works out what the system needs at a size.
type capacityCommand struct {
	commonOptions
	Size   string `long:"size" value-name:"FILE" description:"a JSON file with the size; without it the planned size"`
	Slopes string `long:"slopes" value-name:"FILE" description:"a JSON file with measured slopes; without it those of docs/CAPACITY.md"`
	Page   bool   `long:"page" description:"print docs/CAPACITY.md"`
}

// Execute prints the tables, or JSON.
func (command *capacityCommand) Execute(_ []string) error {
	slopes, err := command.readSlopes()
	if err != nil {
		return malformed("%v", err)
	}
	size := sizer.Planned()
	if command.Size != "" {
		if err := readStrict(command.Size, &size); err != nil {
			return malformed("%v", err)
		}
	}
	if command.Page {
		_, _ = fmt.Fprint(command.terminal.output, sizer.Page(slopes))
		return nil
	}
	result := sizer.Calculate(size, slopes)
	if command.JSON {
		return json.NewEncoder(command.terminal.output).Encode(result)
	}
	sizer.Render(command.terminal.output, result)
	return nil
}

func (command *capacityCommand) readSlopes() (*sizer.Slopes, error) {
	if command.Slopes == "" {
		return sizer.MeasuredSlopes()
	}
	content, err := os.ReadFile(command.Slopes)
	if err != nil {
		return nil, err
	}
	return sizer.ParseSlopes(content)
}

// readStrict reads a JSON file over the values that target has already. A key that
// target does not know is an error.
func readStrict(path string, target any) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	decoder := json.NewDecoder(file)
	decoder.DisallowUnknownFields()
	return decoder.Decode(target)
}
