package tracer

import (
	"encoding/json"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// This file keeps the read and write methods of each event together, so that a
// field that is missing in one of them is easy to notice. The field "event" is read
// by the parser; the fields "at" and "event" are written by newLine.

func (head *Head) read(reader *fieldReader) { head.At = reader.moment("at") }

func (job *Job) read(reader *fieldReader) {
	job.Head.read(reader)
	job.Job = identifier.JobID(reader.text("job"))
	job.Submission = identifier.SubmissionID(reader.text("submission"))
	job.Caller = identifier.CallerID(reader.text("caller"))
	job.Team = identifier.TeamID(reader.text("team"))
	job.Class = identifier.ClassName(reader.text("class"))
	job.FailureDomain = identifier.FailureDomain(reader.text("failure-domain"))
	if reader.has("entry-host") {
		job.EntryHost = identifier.HostID(reader.text("entry-host"))
	}
	job.Repeatable = reader.boolean("repeatable")
	if reader.has("may-run") {
		job.MayRun = readNames[identifier.FailureDomain](reader, "may-run")
	}
	job.Deadline = identifier.Never
	if reader.has("deadline") {
		job.Deadline = reader.moment("deadline")
	}
	job.readTasks(reader)
}

func (job *Job) readTasks(reader *fieldReader) {
	objects := reader.objects("tasks")
	job.Tasks = make([]Task, 0, len(objects))
	for _, object := range objects {
		task, err := readTask(object)
		if err != nil {
			reader.fail(err.Kind, "task %d: %v", len(job.Tasks), err.Err)
			return
		}
		job.Tasks = append(job.Tasks, task)
	}
}

func readTask(object json.RawMessage) (Task, *Error) {
	reader, err := newFieldReader(object)
	if err != nil {
		return Task{}, err
	}
	task := Task{RunTime: reader.duration("run-time"), DeclaredRunTime: reader.duration("declared")}
	return task, reader.finish()
}

func (job *Job) write(writer *fieldWriter) {
	writer.text("job", string(job.Job))
	writer.text("submission", string(job.Submission))
	writer.text("caller", string(job.Caller))
	writer.text("team", string(job.Team))
	writer.text("class", string(job.Class))
	writer.text("failure-domain", string(job.FailureDomain))
	if job.EntryHost != "" {
		writer.text("entry-host", string(job.EntryHost))
	}
	writer.boolean("repeatable", job.Repeatable)
	if len(job.MayRun) > 0 {
		writeNames(writer, "may-run", job.MayRun)
	}
	if job.Deadline != identifier.Never {
		writer.moment("deadline", job.Deadline)
	}
	job.writeTasks(writer)
}

func (job *Job) writeTasks(writer *fieldWriter) {
	writer.name("tasks")
	for position, task := range job.Tasks {
		nested := &fieldWriter{}
		nested.duration("run-time", task.RunTime)
		nested.duration("declared", task.DeclaredRunTime)
		writer.line = append(writer.line, listSeparator(position))
		writer.line = append(writer.line, nested.line...)
		writer.line = append(writer.line, '}')
	}
	writer.line = append(writer.line, ']')
}

func (cancel *Cancel) read(reader *fieldReader) {
	cancel.Head.read(reader)
	cancel.Submission = identifier.SubmissionID(reader.text("submission"))
}

func (cancel *Cancel) write(writer *fieldWriter) {
	writer.text("submission", string(cancel.Submission))
}

func (expect *Expect) read(reader *fieldReader) {
	expect.Head.read(reader)
	if reader.has("submission") {
		expect.Submission = identifier.SubmissionID(reader.text("submission"))
		expect.Outcome = readEnum(reader, "outcome", OutcomeString)
		return
	}
	expect.Figure = readEnum(reader, "count", FigureString)
	expect.AtMost = reader.number("at-most")
}

func (expect *Expect) write(writer *fieldWriter) {
	if expect.NamesSubmission() {
		writer.text("submission", string(expect.Submission))
		writer.text("outcome", expect.Outcome.String())
		return
	}
	writer.text("count", expect.Figure.String())
	writer.number("at-most", expect.AtMost)
}

// readEnum reads a field whose text is a name of an enum value. The generated
// parsers ignore upper and lower case; a trace must have the exact text.
func readEnum[Enum interface {
	~int
	String() string
}](reader *fieldReader, name string, parse func(string) (Enum, error)) Enum {
	text := reader.text(name)
	if reader.err != nil {
		return 0
	}
	value, err := parse(text)
	if err != nil || value.String() != text {
		reader.fail(ErrorBadValue, "field %q has the unknown value %q", name, text)
	}
	return value
}

func (fault *BackendServerFault) read(reader *fieldReader) {
	fault.Head.read(reader)
	fault.BackendServer = identifier.BackendServerID(reader.text("backend-server"))
}

func (fault *BackendServerFault) write(writer *fieldWriter) {
	writer.text("backend-server", string(fault.BackendServer))
}

func (fault *BackendServerSlows) read(reader *fieldReader) {
	fault.BackendServerFault.read(reader)
	fault.Factor = reader.number("factor")
	if reader.err == nil && fault.Factor <= 0 {
		reader.fail(ErrorBadValue, "field %q must be above zero", "factor")
	}
}

func (fault *BackendServerSlows) write(writer *fieldWriter) {
	fault.BackendServerFault.write(writer)
	writer.number("factor", fault.Factor)
}

func (fault *EntryHostFault) read(reader *fieldReader) {
	fault.Head.read(reader)
	fault.EntryHost = identifier.HostID(reader.text("entry-host"))
}

func (fault *EntryHostFault) write(writer *fieldWriter) {
	writer.text("entry-host", string(fault.EntryHost))
}

func (fault *FailureDomainFault) read(reader *fieldReader) {
	fault.Head.read(reader)
	fault.FailureDomain = identifier.FailureDomain(reader.text("failure-domain"))
}

func (fault *FailureDomainFault) write(writer *fieldWriter) {
	writer.text("failure-domain", string(fault.FailureDomain))
}
