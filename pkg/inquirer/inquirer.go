// Package inquirer decides, on the host that leads a cell, whether a job may be given room
// that the lead of its home cell has not sent there.
//
// Only the home's lead knows which runs an earlier sending of the job has. Where that lead
// doesn't answer the host of a job, every other host of the home is asked first; one of them
// supervises the earlier sending, if there is one.
//
// It is pure: time and events come in through Tick, messages go out.
package inquirer

import (
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// Settings says how long things last.
type Settings struct {
	// ReplyWait is how long the hosts have to reply.
	ReplyWait time.Duration
	// Lease is how long a run may go on without a renewal.
	Lease time.Duration
}

// DefaultSettings returns the settings that the daemon starts from.
func DefaultSettings() Settings {
	return Settings{ReplyWait: 40 * time.Millisecond, Lease: time.Second}
}

// Inquirer holds the requests that wait for replies. Set the exported fields before the first
// Tick.
type Inquirer struct {
	Settings Settings

	now       identifier.Moment
	inquiries *tabulator.Table[inquiryKey, inquiry]
	// silences are the hosts that have left inquiries unanswered.
	silences map[identifier.HostID]silence
	// lost are the hosts that were lost within the last lease.
	lost    map[identifier.HostID]loss
	timers  *tabulator.Timers[inquiryKey]
	outputs []Output
}

// silence is when a host left the first of its unanswered inquiries, and when the last of them
// ended.
type silence struct{ since, until identifier.Moment }

// loss is where and when a host was lost.
type loss struct {
	domain identifier.FailureDomain
	at     identifier.Moment
}

// inquiryKey names an inquiry. Two cells of one host may be asked for one job.
type inquiryKey struct {
	job  identifier.JobID
	cell messenger.CellNumber
}

// inquiry is a request that waits for replies.
type inquiry struct {
	request   *RoomRequested
	arrivedAt identifier.Moment
	// missing are the hosts that have not replied.
	missing []identifier.HostID
}

// Tick applies the inputs, lets deadlines fall due and returns what to do.
func (inquirer *Inquirer) Tick(now identifier.Moment, inputs []Input) []Output {
	inquirer.prepare(now)
	for _, input := range inputs {
		inquirer.apply(input)
	}
	inquirer.timers.EachDue(now, inquirer.expire)
	outputs := inquirer.outputs
	inquirer.outputs = nil
	return outputs
}

// NextDeadline returns when Tick must run even without inputs.
func (inquirer *Inquirer) NextDeadline() identifier.Moment {
	if inquirer.timers == nil {
		return identifier.Never
	}
	return inquirer.timers.Next()
}

func (inquirer *Inquirer) prepare(now identifier.Moment) {
	inquirer.now = now
	if inquirer.timers != nil {
		return
	}
	inquirer.inquiries = tabulator.New[inquiryKey, inquiry]()
	inquirer.silences = make(map[identifier.HostID]silence)
	inquirer.lost = make(map[identifier.HostID]loss)
	inquirer.timers = tabulator.NewTimers[inquiryKey]()
}

func (inquirer *Inquirer) apply(input Input) {
	switch input := input.(type) {
	case *RoomRequested:
		inquirer.begin(input)
	case *RoomReleased:
		inquirer.release(input)
	case *ReplyArrived:
		inquirer.takeReply(input)
	case *HostLost:
		delete(inquirer.silences, input.Host)
		inquirer.lost[input.Host] = loss{domain: input.FailureDomain, at: inquirer.now}
	}
}

// begin asks the hosts of a job's home. A request for the same job that waits already is
// denied: only one sending may go on.
func (inquirer *Inquirer) begin(input *RoomRequested) {
	key := inquiryKey{job: input.Request.Job, cell: input.Request.Cell}
	if earlier := inquirer.inquiries.Get(key); earlier != nil && earlier.request.From != input.From {
		inquirer.deny(key, earlier, "sent again")
	}
	created := &inquiry{request: input, arrivedAt: inquirer.now, missing: slices.Clone(input.Peers)}
	if host := inquirer.lostLately(input.Home); host != "" {
		inquirer.deny(key, created, string(host)+" was lost lately")
		return
	}
	inquirer.inquiries.Put(key, created)
	inquirer.timers.Set(key, inquirer.now.Add(inquirer.Settings.ReplyWait))
	question := messenger.JobInquiry{Job: key.job, Cell: key.cell, Host: input.From}
	for _, peer := range input.Peers {
		inquirer.emit(&SendInquiry{To: peer, Inquiry: question})
	}
	inquirer.settle(key, created)
	if inquirer.inquiries.Get(key) == created {
		inquirer.emit(&RequestHeld{From: input.From, Request: input.Request})
	}
}

func tasksOf(request *messenger.RoomRequest) []messenger.TaskIndex {
	tasks := make([]messenger.TaskIndex, len(request.Tasks))
	for index := range request.Tasks {
		tasks[index] = request.Tasks[index].Task
	}
	return tasks
}

// lostLately returns a host of a failure domain of which runs may still be at work, or none.
func (inquirer *Inquirer) lostLately(domain identifier.FailureDomain) identifier.HostID {
	var found identifier.HostID
	for host, loss := range inquirer.lost {
		switch {
		case loss.at.Add(inquirer.lapseTime()).Due(inquirer.now):
			delete(inquirer.lost, host)
		case loss.domain == domain:
			found = max(found, host)
		}
	}
	return found
}

func (inquirer *Inquirer) release(input *RoomReleased) {
	key := inquiryKey{job: input.Job, cell: input.Cell}
	if known := inquirer.inquiries.Get(key); known != nil && known.request.From == input.From {
		inquirer.forget(key)
	}
}

func (inquirer *Inquirer) takeReply(input *ReplyArrived) {
	delete(inquirer.silences, input.From)
	key := inquiryKey{job: input.Reply.Job, cell: input.Reply.Cell}
	known := inquirer.inquiries.Get(key)
	if known == nil || known.request.From != input.Reply.Host {
		return
	}
	if input.Reply.Known {
		inquirer.deny(key, known, "known to "+string(input.From))
		return
	}
	known.missing = slices.DeleteFunc(known.missing, func(host identifier.HostID) bool { return host == input.From })
	inquirer.settle(key, known)
}

// settle clears a request once every host has replied that has to.
func (inquirer *Inquirer) settle(key inquiryKey, known *inquiry) {
	if !slices.ContainsFunc(known.missing, inquirer.mayHaveRuns) {
		inquirer.clear(key, known)
	}
}

// mayHaveRuns tells whether runs may be at work that a host has started which has not replied. Once
// it has been silent for a lease, another host that knows of them renews them, or they are over.
func (inquirer *Inquirer) mayHaveRuns(host identifier.HostID) bool {
	silence, silent := inquirer.silences[host]
	lapse := inquirer.lapseTime()
	return !silent || silence.until.Before(silence.since.Add(lapse)) || silence.until.Add(lapse).Due(inquirer.now)
}

// lapseTime is how long a run goes on at most that nobody renews.
func (inquirer *Inquirer) lapseTime() time.Duration { return inquirer.Settings.Lease + lapseMargin }

// lapseMargin is for clocks that run slow, and for the time that a server takes to end a run.
const lapseMargin = 80 * time.Millisecond

// expire ends an inquiry to which some hosts have not replied.
func (inquirer *Inquirer) expire(key inquiryKey) {
	known := inquirer.inquiries.Get(key)
	if known == nil {
		return
	}
	for _, host := range known.missing {
		inquirer.noteSilence(host, known.arrivedAt)
	}
	inquirer.settle(key, known)
	if inquirer.inquiries.Get(key) == known {
		missing := slices.IndexFunc(known.missing, inquirer.mayHaveRuns)
		inquirer.deny(key, known, "no reply of "+string(known.missing[missing]))
	}
}

// noteSilence notes that a host has not replied in time to an inquiry. One that was asked nothing
// for a lease may have been well meanwhile.
func (inquirer *Inquirer) noteSilence(host identifier.HostID, asked identifier.Moment) {
	known, silent := inquirer.silences[host]
	if !silent || known.until.Add(inquirer.lapseTime()).Due(inquirer.now) {
		known.since = asked
	}
	known.until = asked.Add(inquirer.Settings.ReplyWait)
	inquirer.silences[host] = known
}

// clear hands a request on, with the times as they are now, and tells the home where its job
// goes: a sending that comes there later has to follow it.
func (inquirer *Inquirer) clear(key inquiryKey, known *inquiry) {
	inquirer.forget(key)
	waited := inquirer.now.Sub(known.arrivedAt)
	request := known.request.Request
	request.Elapsed += waited
	request.Remaining -= waited
	inquirer.decided(known, "cleared")
	notice := messenger.JobElsewhere{Job: key.job, Cell: key.cell, Tasks: tasksOf(&request)}
	for _, peer := range known.request.Peers {
		inquirer.emit(&SendNotice{To: peer, Notice: notice})
	}
	inquirer.emit(&RequestCleared{From: known.request.From, Request: request})
}

func (inquirer *Inquirer) deny(key inquiryKey, known *inquiry, reason string) {
	inquirer.forget(key)
	inquirer.decided(known, reason)
	inquirer.emit(&RequestDenied{From: known.request.From, Request: known.request.Request})
}

func (inquirer *Inquirer) forget(key inquiryKey) {
	inquirer.inquiries.Remove(key)
	inquirer.timers.Clear(key)
}

func (inquirer *Inquirer) decided(known *inquiry, reason string) {
	inquirer.emit(&Decided{Decision: messenger.Decision{
		Kind: messenger.DecisionInquired, Job: known.request.Request.Job, Host: known.request.From, Tasks: len(known.request.Peers),
		Reason: reason, Elapsed: inquirer.now.Sub(known.arrivedAt),
	}})
}

func (inquirer *Inquirer) emit(output Output) {
	inquirer.outputs = append(inquirer.outputs, output)
}
