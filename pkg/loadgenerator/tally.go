package loadgenerator

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/receiver"
)

// outcomeKind is what became of a job.
type outcomeKind int

const (
	outcomeComplete outcomeKind = iota
	outcomeFailed
	outcomeRefused
	// outcomeWrong is an answer that is not whole.
	outcomeWrong
	outcomeError
	outcomeUnanswered
	// outcomeUnsent is a job that the bound of jobs in flight held back until the
	// run was over.
	outcomeUnsent
)

type outcome struct {
	kind     outcomeKind
	reason   string
	response time.Duration
	// late is how long after its moment the job was sent.
	late time.Duration
}

// outcomeOfAnswer checks that a complete answer has one answer for each task, in
// the order of the tasks.
func outcomeOfAnswer(arrival *arrival, answer *receiver.AnswerBody) outcome {
	switch {
	case answer.Outcome == messenger.OutcomeRefused:
		return outcome{kind: outcomeRefused, reason: answer.Reason}
	case answer.Outcome != messenger.OutcomeComplete:
		return outcome{kind: outcomeFailed, reason: answer.Reason}
	case len(answer.Answers) != len(arrival.runTimes):
		return outcome{kind: outcomeWrong, reason: "the answer is not whole"}
	}
	return outcome{kind: outcomeComplete}
}

// Histograms hold response over ideal in thousandths and times in microseconds.
const (
	ratioUnit = 1000
	ratioMost = 100_000 * ratioUnit
	timeMost  = int64(time.Hour / time.Microsecond)
	// digits is how many figures of a value are kept.
	digits = 3
)

func newTimes() *hdrhistogram.Histogram { return hdrhistogram.New(1, timeMost, digits) }

func recordTime(histogram *hdrhistogram.Histogram, length time.Duration) {
	// The value is within the histogram's range, so there is no error.
	_ = histogram.RecordValue(min(max(length.Microseconds(), 0), timeMost))
}

// classTally counts the jobs of one class.
type classTally struct {
	class     identifier.ClassName
	counts    [outcomeUnsent + 1]int
	tasks     int
	reasons   map[string]int
	ratios    *hdrhistogram.Histogram
	responses *hdrhistogram.Histogram
}

// secondTally counts the jobs that were due in one second of the run.
type secondTally struct {
	due, complete, refused, missing int
	responses                       *hdrhistogram.Histogram
}

// tally counts a run. It is safe for concurrent use.
type tally struct {
	mutex   sync.Mutex
	classes []*classTally
	seconds []*secondTally
	late    *hdrhistogram.Histogram
	running Progress
}

func newTally() *tally { return &tally{late: newTimes()} }

func (tally *tally) due(arrival *arrival) {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	tally.running.Due++
	tally.second(arrival.due).due++
}

func (tally *tally) second(due time.Duration) *secondTally {
	for len(tally.seconds) <= int(due/time.Second) {
		tally.seconds = append(tally.seconds, &secondTally{responses: newTimes()})
	}
	return tally.seconds[due/time.Second]
}

func (tally *tally) class(name identifier.ClassName) *classTally {
	position := slices.IndexFunc(tally.classes, func(known *classTally) bool { return known.class == name })
	if position >= 0 {
		return tally.classes[position]
	}
	created := &classTally{
		class: name, reasons: make(map[string]int),
		ratios: hdrhistogram.New(1, ratioMost, digits), responses: newTimes(),
	}
	tally.classes = append(tally.classes, created)
	return created
}

func (tally *tally) add(arrival *arrival, result outcome) {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	class := tally.class(arrival.mix.Class)
	second := tally.second(arrival.due)
	class.counts[result.kind]++
	if result.reason != "" {
		class.reasons[result.reason]++
	}
	if result.kind != outcomeUnsent {
		recordTime(tally.late, result.late)
	}
	switch result.kind {
	case outcomeComplete:
		second.complete++
		tally.running.Answered++
		class.addComplete(arrival, result.response)
		recordTime(second.responses, result.response)
	case outcomeFailed:
		tally.running.Answered++
	case outcomeRefused:
		second.refused++
		tally.running.Refused++
	default:
		second.missing++
		tally.running.Missing++
	}
}

func (class *classTally) addComplete(arrival *arrival, response time.Duration) {
	class.tasks += len(arrival.runTimes)
	ratio := float64(response) / float64(arrival.ideal())
	_ = class.ratios.RecordValue(min(int64(ratio*ratioUnit), ratioMost))
	recordTime(class.responses, response)
}

func (tally *tally) progress() Progress {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	return tally.running
}
