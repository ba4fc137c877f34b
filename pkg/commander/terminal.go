package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"golang.org/x/term"
)

// terminal is what a command talks to.
type terminal struct {
	context context.Context
	input   io.Reader
	output  io.Writer
	errors  io.Writer
	// person tells that a person reads the output, progressing that one reads the
	// errors, where progress lines go.
	person      bool
	progressing bool
}

// commonOptions are the options that every command has.
type commonOptions struct {
	JSON bool `long:"json" description:"print JSON in place of a table"`

	terminal *terminal
}

// newTerminal returns the process's own input and outputs.
func newTerminal(ctx context.Context) *terminal {
	return &terminal{
		context:     ctx,
		input:       os.Stdin,
		output:      os.Stdout,
		errors:      os.Stderr,
		person:      term.IsTerminal(int(os.Stdout.Fd())),
		progressing: term.IsTerminal(int(os.Stderr.Fd())),
	}
}

// table is what a command lists.
type table struct {
	headers []string
	rows    [][]string
}

func (table *table) add(cells ...string) { table.rows = append(table.rows, cells) }

// printTable gives a person an aligned table, and a pipe one tab-separated line
// for each row.
func (terminal *terminal) printTable(table *table) error {
	if !terminal.person {
		return terminal.printRows(terminal.output, table.rows)
	}
	aligned := tabwriter.NewWriter(terminal.output, 0, 0, 2, ' ', 0)
	if err := terminal.printRows(aligned, append([][]string{table.headers}, table.rows...)); err != nil {
		return err
	}
	return written(aligned.Flush())
}

func (terminal *terminal) printRows(writer io.Writer, rows [][]string) error {
	for _, row := range rows {
		if _, err := fmt.Fprintln(writer, strings.Join(row, "\t")); err != nil {
			return written(err)
		}
	}
	return nil
}

func (terminal *terminal) printJSON(value any) error {
	encoder := json.NewEncoder(terminal.output)
	encoder.SetIndent("", "  ")
	return written(encoder.Encode(value))
}

func (terminal *terminal) printLine(format string, arguments ...any) error {
	_, err := fmt.Fprintf(terminal.output, format+"\n", arguments...)
	return written(err)
}

// progress overwrites the progress line; an empty text clears it. Only a person
// gets one.
func (terminal *terminal) progress(text string) {
	if terminal.progressing {
		// The line is for a person's comfort; nothing depends on it.
		_, _ = fmt.Fprint(terminal.errors, "\r\033[K"+text)
	}
}

// written turns an error of writing into one of the command.
func written(err error) error {
	if err != nil {
		return failed("the output can't be written: %v", err)
	}
	return nil
}

// readInput reads a file, or the input when the name is "-".
func (terminal *terminal) readInput(name string) ([]byte, error) {
	if name == "-" || name == "" {
		content, err := io.ReadAll(terminal.input)
		if err != nil {
			return nil, failed("the input can't be read: %v", err)
		}
		return content, nil
	}
	content, err := os.ReadFile(name)
	if err != nil {
		return nil, malformed("%v", err)
	}
	return content, nil
}
