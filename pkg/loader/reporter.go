package loader

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// reporter collects the problems of one file. It knows the line of every path
// that the file has.
type reporter struct {
	fileName string
	content  []byte
	offsets  map[string]int64
	problems []Problem
	reported map[string]bool
}

func newReporter(fileName string, content []byte) *reporter {
	return &reporter{
		fileName: fileName,
		content:  content,
		offsets:  make(map[string]int64),
		reported: make(map[string]bool),
	}
}

// place notes where the value at path stands.
func (reporter *reporter) place(path string, offset int64) { reporter.offsets[path] = offset }

// add notes a problem at path. A path has one problem at most: a value of the
// wrong type is not told a second time as missing or out of its range.
func (reporter *reporter) add(path, format string, arguments ...any) {
	if reporter.reported[path] {
		return
	}
	reporter.reported[path] = true
	reporter.addAt(reporter.line(path), path, fmt.Sprintf(format, arguments...))
}

func (reporter *reporter) addAt(line int, path, message string) {
	problem := Problem{File: reporter.fileName, Line: line, Path: path, Message: message}
	reporter.problems = append(reporter.problems, problem)
}

// line returns the line of the value at path, or of the nearest object or list
// around it that the file has.
func (reporter *reporter) line(path string) int {
	for {
		if offset, found := reporter.offsets[path]; found {
			return reporter.lineAt(offset)
		}
		if path == "" {
			return 1
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
}

// lineAt returns the line of the token that ends at offset.
func (reporter *reporter) lineAt(offset int64) int {
	end := min(max(offset-1, 0), int64(len(reporter.content)))
	return 1 + bytes.Count(reporter.content[:end], []byte{'\n'})
}

// err returns an *Error with all problems in the order of the file, or nil.
func (reporter *reporter) err() error {
	if len(reporter.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(reporter.problems, func(first, second Problem) int {
		return cmp.Compare(first.Line, second.Line)
	})
	return &Error{Operation: "parse", Kind: ErrorKindInvalid, Problems: reporter.problems}
}
