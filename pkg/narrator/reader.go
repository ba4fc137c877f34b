package narrator

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/logwriter"
	"github.com/stoathitch/stoathitch/pkg/wrapper"
)

//go:generate enumer -type=ErrorKind -trimprefix=Error -transform=kebab -text

// ErrorKind is the kind of an error of this package.
type ErrorKind int

// The kinds of errors of this package.
const (
	// ErrorFile means that a log can't be read at all.
	ErrorFile ErrorKind = iota
	// ErrorNotALog means that no line of a file is a line of a log.
	ErrorNotALog
)

// Error is the error type of this package.
type Error = wrapper.Error[ErrorKind]

var errNoLine = eris.New("no line has a time and a message")

// Logs are the lines of several processes, and what was wrong with their files.
type Logs struct {
	// Records are sorted by time.
	Records []*Record
	// Warnings describe which files are damaged, and how.
	Warnings []string

	// jobs indexes the records by request.
	jobs map[identifier.JobID][]*Record
}

// between returns the records from one time to another, both included.
func (logs *Logs) between(from, to time.Time) []*Record {
	first, _ := slices.BinarySearchFunc(logs.Records, from, compareAt)
	last, _ := slices.BinarySearchFunc(logs.Records, to.Add(1), compareAt)
	return logs.Records[first:max(first, last)]
}

func compareAt(record *Record, at time.Time) int { return record.At.Compare(at) }

func (logs *Logs) index() {
	slices.SortStableFunc(logs.Records, func(first, second *Record) int { return first.At.Compare(second.At) })
	logs.jobs = make(map[identifier.JobID][]*Record)
	for _, record := range logs.Records {
		if record.Job != "" {
			logs.jobs[record.Job] = append(logs.jobs[record.Job], record)
		}
	}
}

// logPattern matches the log files in a folder.
const logPattern = "*.log"

// Read reads the logs at paths; a folder stands for the logs in it. Lines that can't be
// parsed are counted and skipped; a non-empty file without any log line is an error.
func Read(paths []string) (*Logs, error) {
	logs := &Logs{}
	for _, path := range paths {
		files, err := logsAt(path)
		if err != nil {
			return nil, &Error{Operation: "read " + path, Kind: ErrorFile, Err: err}
		}
		for _, file := range files {
			if err := logs.readFile(file); err != nil {
				return nil, err
			}
		}
	}
	logs.index()
	return logs, nil
}

func logsAt(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	files, err := filepath.Glob(filepath.Join(path, logPattern))
	if err == nil && len(files) == 0 {
		err = eris.Wrap(fs.ErrNotExist, logPattern)
	}
	return files, err
}

func (logs *Logs) readFile(path string) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return &Error{Operation: "read " + path, Kind: ErrorFile, Err: err}
	}
	if len(content) == 0 {
		logs.warn(path, "is empty")
		return nil
	}
	before, bad := len(logs.Records), 0
	lines := bytes.Split(content, []byte("\n"))
	for _, line := range lines {
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		record, err := parse(line)
		if err != nil {
			bad++
			continue
		}
		logs.Records = append(logs.Records, record)
	}
	if len(logs.Records) == before {
		return &Error{Operation: "read " + path, Kind: ErrorNotALog, Err: errNoLine}
	}
	if bad > 0 {
		logs.warn(path, strconv.Itoa(bad)+" lines can't be understood and are left out")
	}
	if content[len(content)-1] != '\n' {
		logs.warn(path, "ends in the middle of a line")
	}
	return nil
}

func (logs *Logs) warn(path, text string) { logs.Warnings = append(logs.Warnings, path+": "+text) }

// parse parses one line in logfmt.
func parse(line []byte) (*Record, error) {
	record := &Record{}
	var shown []string
	decoder := logfmt.NewDecoder(bytes.NewReader(line))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			key, value := string(decoder.Key()), string(decoder.Value())
			if err := record.set(key, value); err != nil {
				return nil, err
			}
			if !slices.Contains(hiddenKeys, key) {
				shown = append(shown, key+"="+quoted(value))
			}
		}
	}
	if err := decoder.Err(); err != nil {
		return nil, err
	}
	if record.At.IsZero() || record.Message == "" {
		return nil, errNoLine
	}
	record.Text = strings.Join(shown, " ")
	return record, nil
}

// hiddenKeys are omitted from Text: they have columns of their own or are the same in every
// line.
var hiddenKeys = []string{"time", "host", "msg", "level", "job"}

func quoted(value string) string {
	if strings.ContainsAny(value, " \"=") {
		return strconv.Quote(value)
	}
	return value
}

// set stores the value of one key. Other keys appear in Text only.
func (record *Record) set(key, value string) error {
	var err error
	switch key {
	case "time":
		record.At, err = time.Parse(logwriter.TimeFormat, value)
	case "elapsed":
		record.Elapsed, err = time.ParseDuration(value)
	case "predicted":
		record.Predicted, err = time.ParseDuration(value)
	case "host":
		record.Host = identifier.HostID(value)
	case "msg":
		record.Message = value
	case "job":
		record.Job = identifier.JobID(value)
	case "server":
		record.Server = identifier.ServerIncarnation(value)
	case "to":
		record.To = identifier.HostID(value)
	case "peer":
		record.Peer = value
	case "status":
		record.Status = value
	case "reason":
		record.Reason = value
	case "lines":
		record.LeftOut = value
	case "kind":
		record.LeftOutKind = value
	}
	return err
}
