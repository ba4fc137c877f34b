package commander

import (
	"bytes"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"
)

// leastInterval keeps top from being a load on the hosts.
const leastInterval = 500 * time.Millisecond

// topCommand shows the work of all hosts.
type topCommand struct {
	remoteOptions
	Interval time.Duration `long:"interval" default:"2s" description:"the pause between two looks, at least 500ms"`
	Once     bool          `long:"once" description:"look once also on a terminal"`
}

// Execute looks at the hosts, again and again for a person.
func (command *topCommand) Execute(_ []string) error {
	seen, err := command.look()
	if err != nil {
		return err
	}
	if command.JSON {
		return command.terminal.printJSON(seen)
	}
	if !command.terminal.person || command.Once {
		return command.printOnce(seen)
	}
	return command.refresh(seen)
}

// printOnce gives a person the tables and a pipe the lines.
func (command *topCommand) printOnce(seen *topView) error {
	if command.terminal.person {
		return command.terminal.printLine("%s", strings.TrimRight(seen.text(), "\n"))
	}
	for _, section := range seen.sections() {
		for _, row := range section.rows {
			if err := command.terminal.printLine("%s\t%s", section.kind, strings.Join(row, "\t")); err != nil {
				return err
			}
		}
	}
	return nil
}

// refresh shows one view over the other until the command is interrupted. A look
// that fails leaves the earlier view and says why: the host that is asked may be
// the one that restarts.
func (command *topCommand) refresh(seen *topView) error {
	ticker := time.NewTicker(max(command.Interval, leastInterval))
	defer ticker.Stop()
	note := ""
	for {
		if err := command.terminal.redraw(seen.text() + note); err != nil {
			return err
		}
		select {
		case <-command.terminal.context.Done():
			return nil
		case <-ticker.C:
		}
		next, err := command.look()
		if err != nil {
			note = fmt.Sprintf("\nno new look: %v\n", err)
			continue
		}
		seen, note = next, ""
	}
}

// redraw writes over what stands on the screen, line by line, so that it doesn't
// flicker, and clears what is left below.
func (terminal *terminal) redraw(text string) error {
	const home, clearLine, clearBelow = "\033[H", "\033[K", "\033[J"
	_, err := fmt.Fprint(terminal.output, home+strings.ReplaceAll(text, "\n", clearLine+"\n")+clearBelow)
	return written(err)
}

// text shows the view as aligned tables.
func (view *topView) text() string {
	var shown bytes.Buffer
	for _, section := range view.sections() {
		if len(section.rows) == 0 {
			continue
		}
		// A buffer takes all that is written.
		aligned := tabwriter.NewWriter(&shown, 0, 0, 2, ' ', 0)
		for _, row := range append([][]string{section.headers}, section.rows...) {
			_, _ = fmt.Fprintln(aligned, strings.Join(row, "\t"))
		}
		_ = aligned.Flush()
		shown.WriteString("\n")
	}
	return shown.String()
}
