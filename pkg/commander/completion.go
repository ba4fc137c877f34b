package commander

// completionScript asks the tool itself for the completions, as go-flags offers.
const completionScript = `_stoathitch() {
  local IFS=$'\n'
  COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
}
complete -o default -F _stoathitch stoathitch`

// completionCommand prints the completion script.
type completionCommand struct{ commonOptions }

// Execute prints the script.
func (command *completionCommand) Execute(_ []string) error {
	return command.terminal.printLine("%s", completionScript)
}
