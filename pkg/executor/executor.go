// Package executor is a stand-in backend server and the reference of the
// published protocol: it announces itself to entry hosts, runs tasks by sleeping for the run
// time in their payload, and echoes the payload as the result. It is for trying the system out
// and for its tests; no code of the system runs on real backend servers.
package executor

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	backendv1 "github.com/stoathitch/stoathitch/pkg/protocol/backend/v1"
	"github.com/stoathitch/stoathitch/pkg/securer"
)

// Intervals and retention of a stand-in.
const (
	heartbeatInterval = 500 * time.Millisecond
	reconnectPause    = 100 * time.Millisecond
	// idleHeartbeatRatio is how many heartbeat intervals pass between two heartbeats to an entry
	// host that leads no cell of this server.
	idleHeartbeatRatio = 10
	// answerRetention is how long an unacknowledged answer is kept.
	answerRetention = 10 * time.Minute
)

// Executor is one stand-in backend server. Set the exported fields before Run.
type Executor struct {
	Name          string
	FailureDomain string
	Rack          string
	Slots         int
	Connections   int
	// Resources make the stand-in a worker, which runs tasks of intents under leases and no
	// tasks of jobs; nil makes it a backend server for jobs.
	Resources *Resources
	// UsePermille is the part of their declared processors and memory that tasks of intents
	// use, in thousandths; 0 means all of it.
	UsePermille int64
	// EntryHosts are the addresses of the entry hosts that it connects to at first.
	EntryHosts []string
	// Recorder records each start before the work begins; nil records nothing.
	Recorder *Recorder
	// Keys secure the connections; nil leaves them unencrypted.
	Keys *securer.Keys
	Log  *log.Logger

	mutex       sync.Mutex
	incarnation uint64
	startedAt   time.Time
	epochs      map[uint32]uint64
	leads       map[uint32]*link
	tasks       map[taskKey]*runningTask
	finished    map[taskKey]*finishedTask
	cancelled   map[taskKey]time.Time
	// acknowledged holds the submissions of which answers were acknowledged, with the time
	// at which each is forgotten.
	acknowledged map[acknowledgedKey]time.Time
	links        map[string]*link
	leaving      bool
	running      sync.WaitGroup
	// worker is nil without Resources.
	worker *worker
}

// taskKey identifies a task among all submissions.
type taskKey struct {
	submission string
	task       string
}

// runningTask is a task that occupies a slot.
type runningTask struct {
	cell   uint32
	cancel context.CancelFunc
}

// finishedTask is an answer that is kept until it is acknowledged.
type finishedTask struct {
	answer   *backendv1.Answer
	forgetAt time.Time
	cell     uint32
}

// Run connects to the entry hosts and runs tasks until ctx is done and all tasks have ended.
func (executor *Executor) Run(ctx context.Context) {
	executor.prepare()
	for _, address := range executor.EntryHosts {
		executor.attach(ctx, address)
	}
	if executor.worker != nil {
		go executor.worker.run(ctx)
	}
	executor.runHeartbeats(ctx)
	executor.running.Wait()
}

func (executor *Executor) prepare() {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()
	executor.startedAt = time.Now()
	executor.incarnation = rand.Uint64() | 1
	executor.epochs = make(map[uint32]uint64)
	executor.leads = make(map[uint32]*link)
	executor.tasks = make(map[taskKey]*runningTask)
	executor.finished = make(map[taskKey]*finishedTask)
	executor.cancelled = make(map[taskKey]time.Time)
	executor.acknowledged = make(map[acknowledgedKey]time.Time)
	executor.links = make(map[string]*link)
	executor.worker = newWorker(executor)
}

// runHeartbeats sends heartbeats and removes expired records until ctx is done.
func (executor *Executor) runHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	sequence := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			sequence++
			executor.heartbeat(sequence)
			executor.forgetOld(now)
		}
	}
}

func (executor *Executor) heartbeat(sequence uint64) {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()
	if executor.worker != nil {
		return
	}
	for _, link := range executor.links {
		if !executor.isLead(link) && sequence%idleHeartbeatRatio != 0 {
			continue
		}
		link.queue(&backendv1.ServerMessage{
			Heartbeat: &backendv1.Heartbeat{Sequence: sequence, Busy: int32(len(executor.tasks))},
		})
	}
}

// isLead reports whether the entry host leads a cell of this server.
func (executor *Executor) isLead(link *link) bool {
	for _, lead := range executor.leads {
		if lead == link {
			return true
		}
	}
	return false
}

func (executor *Executor) forgetOld(now time.Time) {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()
	for key, finished := range executor.finished {
		if now.After(finished.forgetAt) {
			delete(executor.finished, key)
		}
	}
	for key, forgetAt := range executor.cancelled {
		if now.After(forgetAt) {
			delete(executor.cancelled, key)
		}
	}
	executor.forgetAcknowledged(now)
}

// Leave notifies the entry hosts that the server accepts no new starts.
func (executor *Executor) Leave() {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()
	executor.leaving = true
	for _, link := range executor.links {
		link.queue(&backendv1.ServerMessage{Leaving: &backendv1.Leaving{}})
	}
}
