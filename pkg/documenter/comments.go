package documenter

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
)

// readComments returns the comment of each struct field of the package in folder,
// under "Struct.Field", as one line.
func readComments(folder string) (map[string]string, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.go"))
	if err != nil {
		return nil, &Error{Operation: "read", Kind: ErrorKindUnreadable, Err: eris.Wrap(err, "list the code")}
	}
	comments := make(map[string]string)
	for _, path := range paths {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
		if err != nil {
			return nil, &Error{Operation: "read", Kind: ErrorKindUnreadable, Err: eris.Wrap(err, "parse the code")}
		}
		collectComments(file, comments)
	}
	return comments, nil
}

func collectComments(file *ast.File, comments map[string]string) {
	ast.Inspect(file, func(visited ast.Node) bool {
		spec, isType := visited.(*ast.TypeSpec)
		if !isType {
			return true
		}
		structType, isStruct := spec.Type.(*ast.StructType)
		if !isStruct {
			return true
		}
		for _, field := range structType.Fields.List {
			for _, name := range field.Names {
				if field.Doc != nil {
					comments[spec.Name.Name+"."+name.Name] = oneLine(field.Doc.Text())
				}
			}
		}
		return true
	})
}

// oneLine makes a comment fit a table's cell.
func oneLine(text string) string {
	return strings.ReplaceAll(strings.Join(strings.Fields(text), " "), "|", `\|`)
}
