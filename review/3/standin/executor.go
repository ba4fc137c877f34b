package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	executorsEach     = 2
	heartbeatInterval = 1500 * time.Millisecond
	// stopDelay is how long a stop takes, within stopTimeoutMs.
	stopDelay = 20 * time.Millisecond
	// leaseCheck is how often lapsed leases are looked for.
	leaseCheck = 10 * time.Millisecond
)

// run is one run of a task.
type run struct {
	task      string
	run       uint32
	startedAt time.Time
	// endedAt is zero while the run is at work.
	endedAt time.Time
	timer   *time.Timer
}

// executor is a stand-in of an executor. It waits for the duration of each task.
type executor struct {
	id, zone, address string
	controls          []string
	events            *record
	startedAt         time.Time
	server            *http.Server
	stopped           chan struct{}

	mutex      sync.Mutex
	fence      uint64
	leaseUntil int64
	running    map[string]*run
	// highest is the highest run of each task that was stopped or has ended here.
	highest  map[string]uint32
	all      []*run
	ends     [][]any
	lastEnd  int64
	changed  chan struct{}
	sequence uint64
	target   string
}

// startExecutors starts the executors of every zone.
func startExecutors(deployed *deployment, events *record) ([]*executor, error) {
	var executors []*executor
	for index, zone := range zones {
		for number := range executorsEach {
			ip := strings.TrimSuffix(deployed.machines[index*(edgesEach+1)].ip, "100") + fmt.Sprint(150+number)
			listener, err := net.Listen("tcp", ip+":0")
			if err != nil {
				return executors, fmt.Errorf("%w: %w", errNotRun, err)
			}
			created := &executor{
				id: fmt.Sprintf("i-%s-%d", zone, number+1), zone: zone, address: listener.Addr().String(), controls: deployed.controls(), events: events,
				startedAt: time.Now(), stopped: make(chan struct{}), running: make(map[string]*run), highest: make(map[string]uint32), changed: make(chan struct{}),
			}
			mux := http.NewServeMux()
			mux.HandleFunc("POST /stoathitch/run-start", created.handle(created.start))
			mux.HandleFunc("POST /stoathitch/run-stop", created.handle(created.stopRun))
			mux.HandleFunc("POST /stoathitch/hold", created.handle(created.hold))
			created.server = &http.Server{Handler: mux}
			go func() { _ = created.server.Serve(listener) }()
			go created.sendHeartbeats()
			go created.expire()
			executors = append(executors, created)
		}
	}
	return executors, nil
}

func (executor *executor) stop() {
	close(executor.stopped)
	_ = executor.server.Close()
}

func (executor *executor) clock() int64 { return time.Since(executor.startedAt).Milliseconds() }

// runsOf returns copies of the runs of a job. A run that is still at work counts as ended now.
func (executor *executor) runsOf(id string) []run {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()
	var runs []run
	for _, known := range executor.all {
		if strings.HasPrefix(known.task, id+".") {
			copied := *known
			if copied.endedAt.IsZero() {
				copied.endedAt = time.Now()
			}
			runs = append(runs, copied)
		}
	}
	return runs
}

type order struct {
	Task      string `json:"task"`
	Run       uint32 `json:"run"`
	UntilMs   int64  `json:"untilMs"`
	Fence     uint64 `json:"fence"`
	AckCursor int64  `json:"ackCursor"`
	WaitMs    int64  `json:"waitMs"`
}

// handle decodes an order, and refuses one that is meant for another incarnation or has a lower fence.
func (executor *executor) handle(carryOut func(http.ResponseWriter, *http.Request, *order)) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var read order
		if err := json.NewDecoder(request.Body).Decode(&read); err != nil {
			executor.reply(writer, http.StatusBadRequest, map[string]any{})
			return
		}
		if wanted := request.Header.Get("Expect-Instance"); wanted != "" && wanted != executor.id {
			executor.reply(writer, http.StatusMisdirectedRequest, map[string]any{})
			return
		}
		executor.mutex.Lock()
		lower := read.Fence < executor.fence
		executor.fence = max(executor.fence, read.Fence)
		executor.mutex.Unlock()
		if lower {
			executor.reply(writer, http.StatusConflict, map[string]any{"reason": "fence"})
			return
		}
		carryOut(writer, request, &read)
	}
}

func (executor *executor) reply(writer http.ResponseWriter, status int, body map[string]any) {
	body["clockMs"] = executor.clock()
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body) // A caller that has left reads no answer.
}

func (executor *executor) extendLease(until int64) {
	executor.leaseUntil = max(executor.leaseUntil, min(until, executor.clock()+maxHold.Milliseconds()))
}

func (executor *executor) start(writer http.ResponseWriter, _ *http.Request, read *order) {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()
	known := executor.running[read.Task]
	reason := ""
	switch {
	case known != nil && known.run == read.Run:
	case read.Run <= executor.highest[read.Task] || known != nil:
		reason = "old"
	case read.UntilMs <= executor.clock():
		reason = "late"
	case (len(executor.running)+1)*taskCPU > executorCPU:
		reason = "room"
	}
	if reason != "late" {
		executor.extendLease(read.UntilMs)
	}
	if reason != "" {
		executor.reply(writer, http.StatusConflict, map[string]any{"reason": reason})
		return
	}
	if known == nil {
		created := &run{task: read.Task, run: read.Run, startedAt: time.Now()}
		created.timer = time.AfterFunc(workTime, func() { executor.end(created, "done") })
		executor.running[read.Task] = created
		executor.all = append(executor.all, created)
		executor.events.add("start %s run %d on %s", read.Task, read.Run, executor.id)
	}
	executor.reply(writer, http.StatusOK, map[string]any{})
}

func (executor *executor) stopRun(writer http.ResponseWriter, _ *http.Request, read *order) {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()
	executor.highest[read.Task] = max(executor.highest[read.Task], read.Run)
	if known := executor.running[read.Task]; known != nil && known.run <= read.Run {
		executor.events.add("stop %s run %d on %s", read.Task, read.Run, executor.id)
		time.AfterFunc(stopDelay, func() { executor.end(known, "stopped") })
	}
	executor.reply(writer, http.StatusOK, map[string]any{})
}

// end ends a run once and wakes the calls that wait for an end.
func (executor *executor) end(ended *run, how string) {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()
	if executor.running[ended.task] != ended {
		return
	}
	ended.timer.Stop()
	ended.endedAt = time.Now()
	delete(executor.running, ended.task)
	executor.highest[ended.task] = max(executor.highest[ended.task], ended.run)
	executor.lastEnd++
	executor.ends = append(executor.ends, []any{executor.lastEnd, ended.task, ended.run, how, ""})
	close(executor.changed)
	executor.changed = make(chan struct{})
	executor.events.add("end %s run %d on %s: %s", ended.task, ended.run, executor.id, how)
}

func (executor *executor) hold(writer http.ResponseWriter, request *http.Request, read *order) {
	executor.mutex.Lock()
	if read.UntilMs > 0 {
		executor.extendLease(read.UntilMs)
	}
	kept := executor.ends[:0:0]
	for _, end := range executor.ends {
		if number, _ := end[0].(int64); number > read.AckCursor {
			kept = append(kept, end)
		}
	}
	executor.ends = kept
	changed, waits := executor.changed, len(kept) == 0 && read.WaitMs > 0
	executor.mutex.Unlock()
	if waits {
		select {
		case <-changed:
		case <-time.After(time.Duration(read.WaitMs) * time.Millisecond):
		case <-request.Context().Done():
			return
		}
	}
	executor.mutex.Lock()
	defer executor.mutex.Unlock()
	running := [][]any{}
	for _, known := range executor.running {
		percent := min(99, int(100*time.Since(known.startedAt)/workTime))
		running = append(running, []any{known.task, known.run, "", percent, taskCPU})
	}
	executor.reply(writer, http.StatusOK, map[string]any{"running": running, "endedRuns": append([][]any{}, executor.ends...)})
}

// expire ends all runs once the lease has lapsed.
func (executor *executor) expire() {
	ticker := time.NewTicker(leaseCheck)
	defer ticker.Stop()
	for {
		select {
		case <-executor.stopped:
			return
		case <-ticker.C:
		}
		var lapsed []*run
		executor.mutex.Lock()
		if executor.clock() > executor.leaseUntil {
			for _, known := range executor.running {
				lapsed = append(lapsed, known)
			}
		}
		executor.mutex.Unlock()
		for _, known := range lapsed {
			executor.end(known, "lapsed")
		}
	}
}

// sendHeartbeats announces the executor until it is stopped.
func (executor *executor) sendHeartbeats() {
	client := &http.Client{Timeout: time.Second}
	for turn := 0; ; turn++ {
		if !executor.sendHeartbeat(client, turn) {
			executor.target = ""
		}
		pause := heartbeatInterval
		if executor.target == "" {
			pause = 200 * time.Millisecond
		}
		select {
		case <-executor.stopped:
			return
		case <-time.After(pause):
		}
	}
}

func (executor *executor) sendHeartbeat(client *http.Client, turn int) bool {
	executor.sequence++
	body, err := json.Marshal(map[string]any{
		"service": serviceName, "address": executor.address, "zone": executor.zone, "version": "v1", "slots": 8, "state": "ready",
		"coldLeftMs": 0, "capacity": map[string]any{"cpu": executorCPU, "memMb": 32768, "gpu": 0}, "labels": []string{"a", "r1-" + executor.zone},
		"clockMs": executor.clock(), "seq": executor.sequence,
	})
	if err != nil {
		return false
	}
	address := executor.target
	if address == "" {
		address = executor.controls[turn%len(executor.controls)]
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+address+"/stoathitch/instances/"+executor.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		HeartbeatAddr string `json:"heartbeatAddr"`
	}
	if response.StatusCode/100 != 2 || json.NewDecoder(response.Body).Decode(&answer) != nil {
		return false
	}
	if answer.HeartbeatAddr != "" {
		executor.target = answer.HeartbeatAddr
	}
	return true
}
