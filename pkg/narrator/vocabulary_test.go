package narrator_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// root is the top folder of the project.
const root = "../.."

// TestEveryLineIsListed compares the log messages in the source with those on the logs page,
// where an engineer on call must find every message and its meaning.
func TestEveryLineIsListed(t *testing.T) {
	written := messagesInSource(t)
	for _, kind := range messenger.DecisionKindValues() {
		written[kind.String()] = true
	}
	written["lines-left-out"] = true
	content, err := os.ReadFile(filepath.Join(root, "docs", "LOGS.md"))
	if err != nil {
		t.Fatal(err)
	}
	listed := make(map[string]bool)
	for _, row := range regexp.MustCompile("(?m)^\\| `([^`]+)` \\|").FindAllStringSubmatch(string(content), -1) {
		listed[row[1]] = true
	}
	for _, name := range slices.Sorted(maps.Keys(written)) {
		if !listed[name] {
			t.Errorf("docs/LOGS.md does not list %q", name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(listed)) {
		if !written[name] {
			t.Errorf("docs/LOGS.md lists %q, which nothing writes", name)
		}
	}
}

// messagesInSource returns the messages of all logger calls outside tests.
func messagesInSource(t *testing.T) map[string]bool {
	t.Helper()
	found := make(map[string]bool)
	for _, folder := range []string{"pkg", "platform", "cmd"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			ast.Inspect(parsed, func(node ast.Node) bool {
				if message, logs := messageOf(t, path, node); logs {
					found[message] = true
				}
				return true
			})
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return found
}

// messageOf returns the message if node is a logger call.
func messageOf(t *testing.T, path string, node ast.Node) (string, bool) {
	call, isCall := node.(*ast.CallExpr)
	if !isCall || len(call.Args) == 0 {
		return "", false
	}
	method, isMethod := call.Fun.(*ast.SelectorExpr)
	if !isMethod || !slices.Contains([]string{"Debug", "Info", "Warn", "Error"}, method.Sel.Name) || !isLogger(method.X) {
		return "", false
	}
	literal, isLiteral := call.Args[0].(*ast.BasicLit)
	if !isLiteral {
		t.Errorf("%s: the message of a line is no literal, so that it can't be listed", path)
		return "", false
	}
	message, err := strconv.Unquote(literal.Value)
	if err != nil {
		t.Fatal(err)
	}
	return message, true
}

// isLogger reports whether an expression is a logger, judging by its name.
func isLogger(expression ast.Expr) bool {
	switch expression := expression.(type) {
	case *ast.SelectorExpr:
		return strings.EqualFold(expression.Sel.Name, "log")
	case *ast.Ident:
		return expression.Name == "logger"
	}
	return false
}
