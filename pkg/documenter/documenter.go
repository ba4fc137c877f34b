// Package documenter writes the page of the settings, docs/SETTINGS.md, from the
// structs, comments and defaults of package loader, so that page and code can't
// part. Its test compares the page with the code; after a change run
//
//	go test ./pkg/documenter -update
package documenter

import (
	"fmt"
	"net/netip"
	"reflect"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/loader"
)

//go:generate go test . -update

const introduction = `# Settings

This page is generated from the code by ` + "`go generate ./pkg/documenter`" + `; don't edit it.

A host reads one JSON file at its start: ` + "`stoathitchd --settings FILE`" + `. ` + "`stoathitch settings check FILE`" + `
checks a file with the same code and shows all its problems at once, each with its line, its path
and what would be right. Unknown keys are errors. ` + "`stoathitch settings init DIR`" + ` writes the files of a
deployment on one machine, and ` + "`examples/`" + ` holds those of two whole deployments.

Durations are written with their unit, such as "250ms", "5s" or "1m30s". Names are kebab case.
Addresses are IP numbers with a port; host names are refused, as no name service may be needed to
find the others in a failure.
`

// section is one object of the settings with its keys.
type section struct {
	title    string
	about    string
	defaults reflect.Value
}

// Render returns the page. sourceFolder is the folder of package loader's code,
// whose comments explain the keys.
func Render(sourceFolder string) (string, error) {
	comments, err := readComments(sourceFolder)
	if err != nil {
		return "", err
	}
	var page strings.Builder
	page.WriteString(introduction)
	for _, section := range sections() {
		if err := section.render(&page, comments); err != nil {
			return "", err
		}
	}
	return page.String(), nil
}

func sections() []section {
	defaults := loader.Defaults()
	top := reflect.ValueOf(defaults)
	found := []section{{title: "The host and its deployment", defaults: top}}
	for index := range top.NumField() {
		key := keyOf(top.Type().Field(index))
		if field := top.Field(index); isSection(field.Type()) {
			found = append(found, section{title: "`" + key + "`", defaults: field})
		}
	}
	return append(found,
		section{title: "Entries of `hosts`", about: "They say of each host what its own file says at the top.\n", defaults: reflect.ValueOf(loader.DefaultHost())},
		section{title: "Entries of `teams`", defaults: reflect.ValueOf(loader.DefaultTeam())},
		section{title: "Entries of `classes`", defaults: reflect.ValueOf(loader.DefaultClass())},
	)
}

func (section *section) render(page *strings.Builder, comments map[string]string) error {
	structType := section.defaults.Type()
	fmt.Fprintf(page, "\n## %s\n\n", section.title)
	if section.about != "" {
		fmt.Fprintf(page, "%s\n", section.about)
	}
	page.WriteString("| key | type | default | meaning |\n|---|---|---|---|\n")
	for index := range structType.NumField() {
		field := structType.Field(index)
		comment, found := comments[structType.Name()+"."+field.Name]
		if !found {
			return &Error{Operation: "render", Kind: ErrorKindUndocumented, Err: eris.Errorf("%s.%s has no comment", structType.Name(), field.Name)}
		}
		fmt.Fprintf(page, "| `%s` | %s | %s | %s |\n",
			keyOf(field), typeOf(field.Type), defaultOf(section.defaults.Field(index)), meaning(field.Name, comment))
	}
	return nil
}

// meaning turns a comment such as "Host is the host's id." into "The host's id.".
func meaning(fieldName, comment string) string {
	text := strings.TrimPrefix(strings.TrimPrefix(comment, fieldName+" "), "is ")
	return strings.ToUpper(text[:1]) + text[1:]
}

func keyOf(field reflect.StructField) string {
	key, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return key
}

// isSection tells whether a field is an object with keys of its own.
func isSection(fieldType reflect.Type) bool {
	return fieldType.Kind() == reflect.Struct && fieldType != reflect.TypeFor[netip.AddrPort]()
}

// typeOf returns the JSON form of a field in words.
func typeOf(fieldType reflect.Type) string {
	switch fieldType {
	case reflect.TypeFor[netip.AddrPort]():
		return "address"
	case reflect.TypeFor[loader.Duration]():
		return "duration"
	case reflect.TypeFor[loader.Role](), reflect.TypeFor[loader.LogLevel]():
		return "name"
	}
	switch fieldType.Kind() {
	case reflect.Struct:
		return "object"
	case reflect.Slice:
		return "list of " + typeOf(fieldType.Elem()) + "s"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "number"
	case reflect.String:
		return "string"
	default:
		return "whole number"
	}
}

// defaultOf returns the default as it would stand in a file.
func defaultOf(value reflect.Value) string {
	switch {
	case isSection(value.Type()):
		return "below"
	case value.Kind() == reflect.Slice:
		return listDefault(value)
	case value.IsZero() && (value.Kind() == reflect.String || value.Kind() == reflect.Struct):
		return "none"
	default:
		return fmt.Sprintf("`%v`", value.Interface())
	}
}

func listDefault(value reflect.Value) string {
	elements := make([]string, value.Len())
	for index := range elements {
		elements[index] = fmt.Sprintf("%q", fmt.Sprint(value.Index(index).Interface()))
	}
	return "`[" + strings.Join(elements, ", ") + "]`"
}
