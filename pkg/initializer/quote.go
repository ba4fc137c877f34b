package initializer

import (
	"regexp"
	"strings"
)

var plainWord = regexp.MustCompile(`^[A-Za-z0-9_./:@%+=-]+$`)

var globReplacer = strings.NewReplacer(`\`, `\\`, `*`, `\*`, `?`, `\?`, `[`, `\[`)

// ShellQuote returns text as one word of a POSIX shell.
func ShellQuote(text string) string {
	if plainWord.MatchString(text) {
		return text
	}
	return "'" + strings.ReplaceAll(text, "'", `'\''`) + "'"
}

// escapeGlob returns a pattern that matches just the path itself.
func escapeGlob(path string) string { return globReplacer.Replace(path) }
