package loader

import (
	"os"
	"path/filepath"
	"reflect"

	"github.com/rotisserie/eris"
)

// Load reads and checks the settings file at path, and turns a relative data
// folder and relative TLS and access files into paths from the file's own folder. The error
// is an *Error.
func Load(path string) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		cause := eris.Wrap(err, "read the settings file")
		return nil, &Error{Operation: "load", Kind: ErrorKindUnreadable, Err: cause}
	}
	settings, err := Parse(path, content)
	if err != nil {
		return nil, err
	}
	settings.resolvePaths(filepath.Dir(path))
	return settings, nil
}

// Parse checks the content of a settings file; fileName only names it in
// errors. The result has this host among its hosts, and every key that the
// content leaves out has its default. The error is an *Error with all problems.
func Parse(fileName string, content []byte) (*Settings, error) {
	reporter := newReporter(fileName, content)
	root, broken := readNode(content)
	if broken != nil {
		line := reporter.lineAt(broken.offset)
		reporter.addAt(line, "", "no valid JSON: "+broken.message)
		return nil, reporter.err()
	}
	settings := Defaults()
	decoder := &decoder{reporter: reporter}
	decoder.decode("", root, reflect.ValueOf(&settings).Elem())
	if !reporter.reported[""] {
		checker := &checker{reporter: reporter, settings: &settings}
		checker.check()
	}
	if err := reporter.err(); err != nil {
		return nil, err
	}
	settings.FitCapacity()
	return &settings, nil
}

func (settings *Settings) resolvePaths(folder string) {
	paths := []*string{
		&settings.DataFolder,
		&settings.TLS.CertificateFile,
		&settings.TLS.KeyFile,
		&settings.TLS.AuthorityFile,
		&settings.Access.TokensFile,
		&settings.Access.AuthorityFile,
	}
	for _, path := range paths {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(folder, *path)
		}
	}
}
