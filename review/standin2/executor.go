package standin2

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Timing and size of executors, as the platform's pages state them for the site bsv-sched.
const (
	maxHold           = time.Second
	stopTime          = 20 * time.Millisecond
	heartbeatInterval = 1500 * time.Millisecond
	heartbeatTimeout  = time.Second
	executorCPU       = 16000
	executorMemoryMB  = 32768
	maxListedEnds     = 500
)

// Executor is a stand-in of the platform's executors. It does what PROTOCOL.md says under "Running
// tasks" and "Service discovery", and records each start and each end of a run.
type Executor struct {
	id       string
	zone     string
	address  string
	service  string
	controls []string
	record   *Record
	jobs     *Jobs

	mutex      sync.Mutex
	startedAt  time.Time
	fence      uint64
	leaseUntil int64
	runs       map[string]*run
	lastRuns   map[string]uint32
	ends       []end
	endCount   int64
	changed    chan struct{}
	// target is the address that an answer to a heartbeat has named.
	target string
}

type run struct {
	task  string
	run   uint32
	cpu   int
	timer *time.Timer
}

type end struct {
	number int64
	task   string
	run    uint32
	how    string
}

// call is the body of the calls that an executor serves.
type call struct {
	Task      string `json:"task"`
	Run       uint32 `json:"run"`
	Spec      string `json:"spec"`
	UntilMs   int64  `json:"untilMs"`
	Fence     uint64 `json:"fence"`
	AckCursor int64  `json:"ackCursor"`
	WaitMs    int64  `json:"waitMs"`
}

// startExecutor listens on a port of its own and begins to send heartbeats until ctx is done.
func startExecutor(ctx context.Context, created *Executor, ip string) error {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return fmt.Errorf("listen for an executor: %w", err)
	}
	created.address = listener.Addr().String()
	created.startedAt = time.Now()
	created.runs = make(map[string]*run)
	created.lastRuns = make(map[string]uint32)
	created.changed = make(chan struct{})
	router := http.NewServeMux()
	router.HandleFunc("POST /stoathitch/run-start", created.serve(created.start))
	router.HandleFunc("POST /stoathitch/run-stop", created.serve(created.stop))
	router.HandleFunc("POST /stoathitch/hold", created.serve(created.hold))
	server := &http.Server{Handler: router}
	go func() { _ = server.Serve(listener) }()
	go created.heartbeat(ctx)
	go created.lapse(ctx)
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	return nil
}

// serve decodes a call and refuses one for another incarnation.
func (executor *Executor) serve(handle func(http.ResponseWriter, *http.Request, *call)) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		if wanted := request.Header.Get("Expect-Instance"); wanted != "" && wanted != executor.id {
			writer.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var read call
		if err := json.NewDecoder(request.Body).Decode(&read); err != nil {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
		handle(writer, request, &read)
	}
}

func (executor *Executor) clock() int64 { return time.Since(executor.startedAt).Milliseconds() }

func (executor *Executor) reply(writer http.ResponseWriter, status int, body map[string]any) {
	body["clockMs"] = executor.clock()
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

func (executor *Executor) refuse(writer http.ResponseWriter, reason string) {
	executor.reply(writer, http.StatusConflict, map[string]any{"reason": reason})
}

func (executor *Executor) acceptFence(fence uint64) bool {
	if fence < executor.fence {
		return false
	}
	executor.fence = fence
	return true
}

func (executor *Executor) extendLease(until int64) {
	executor.leaseUntil = max(executor.leaseUntil, min(until, executor.clock()+maxHold.Milliseconds()))
}

func (executor *Executor) start(writer http.ResponseWriter, _ *http.Request, read *call) {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()
	used := 0
	for _, other := range executor.runs {
		used += other.cpu
	}
	job := executor.jobs.ofTask(read.Task)
	known := executor.runs[read.Task]
	switch {
	case !executor.acceptFence(read.Fence):
		executor.refuse(writer, "fence")
		return
	case known != nil && known.run == read.Run:
	case read.Run <= executor.lastRuns[read.Task] || known != nil && read.Run < known.run:
		executor.extendLease(read.UntilMs)
		executor.refuse(writer, "old")
		return
	case read.UntilMs <= executor.clock():
		executor.refuse(writer, "late")
		return
	case used+job.CPU > executorCPU || known != nil:
		executor.extendLease(read.UntilMs)
		executor.refuse(writer, "room")
		return
	default:
		executor.extendLease(read.UntilMs)
		created := &run{task: read.Task, run: read.Run, cpu: job.CPU}
		created.timer = time.AfterFunc(job.Work, func() { executor.end(created, "done") })
		executor.runs[read.Task] = created
		executor.record.started(read.Task, read.Run, executor.id, executor.zone, read.Fence)
	}
	executor.reply(writer, http.StatusOK, map[string]any{})
}

func (executor *Executor) stop(writer http.ResponseWriter, _ *http.Request, read *call) {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()
	if !executor.acceptFence(read.Fence) {
		executor.refuse(writer, "fence")
		return
	}
	executor.lastRuns[read.Task] = max(executor.lastRuns[read.Task], read.Run)
	if known := executor.runs[read.Task]; known != nil && known.run <= read.Run {
		time.AfterFunc(stopTime, func() { executor.end(known, "stopped") })
	}
	executor.reply(writer, http.StatusOK, map[string]any{})
}

func (executor *Executor) hold(writer http.ResponseWriter, request *http.Request, read *call) {
	executor.mutex.Lock()
	if !executor.acceptFence(read.Fence) {
		executor.refuse(writer, "fence")
		executor.mutex.Unlock()
		return
	}
	executor.extendLease(read.UntilMs)
	for len(executor.ends) > 0 && executor.ends[0].number <= read.AckCursor {
		executor.ends = executor.ends[1:]
	}
	changed, waits := executor.changed, len(executor.ends) == 0 && read.WaitMs > 0
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
	running, ended := [][]any{}, [][]any{}
	for _, known := range executor.runs {
		running = append(running, []any{known.task, known.run, "", 50, known.cpu})
	}
	for _, listed := range executor.ends[:min(len(executor.ends), maxListedEnds)] {
		ended = append(ended, []any{listed.number, listed.task, listed.run, listed.how, ""})
	}
	executor.reply(writer, http.StatusOK, map[string]any{"running": running, "endedRuns": ended})
}

// end ends a run, if it is still there, and wakes the calls that wait for an end.
func (executor *Executor) end(ended *run, how string) {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()
	if executor.runs[ended.task] != ended {
		return
	}
	ended.timer.Stop()
	delete(executor.runs, ended.task)
	executor.lastRuns[ended.task] = max(executor.lastRuns[ended.task], ended.run)
	executor.endCount++
	executor.ends = append(executor.ends, end{number: executor.endCount, task: ended.task, run: ended.run, how: how})
	executor.record.ended(ended.task, ended.run, executor.id, how)
	close(executor.changed)
	executor.changed = make(chan struct{})
}

// lapse ends everything that runs once the lease has run out.
func (executor *Executor) lapse(ctx context.Context) {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for ctx.Err() == nil {
		<-ticker.C
		executor.mutex.Lock()
		var lapsed []*run
		if executor.clock() > executor.leaseUntil {
			for _, known := range executor.runs {
				lapsed = append(lapsed, known)
			}
		}
		executor.mutex.Unlock()
		for _, known := range lapsed {
			executor.end(known, "lapsed")
		}
	}
}

// heartbeat reports the executor until ctx is done. After a failure the next daemon is called.
func (executor *Executor) heartbeat(ctx context.Context) {
	for sequence, turn := 1, 0; ctx.Err() == nil; sequence++ {
		address := executor.target
		if address == "" {
			address = executor.controls[turn%len(executor.controls)]
		}
		if !executor.sendHeartbeat(ctx, address, sequence) {
			executor.target = ""
			turn++
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

func (executor *Executor) sendHeartbeat(ctx context.Context, address string, sequence int) bool {
	body := map[string]any{
		"service": executor.service, "address": executor.address, "zone": executor.zone, "version": "v1", "slots": 8,
		"state": "ready", "coldLeftMs": 0, "labels": []string{"a", "r1-1"}, "clockMs": executor.clock(), "seq": sequence,
		"capacity": map[string]any{"cpu": executorCPU, "memMb": executorMemoryMB, "gpu": 0},
	}
	limited, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var answer struct {
		HeartbeatAddr string `json:"heartbeatAddr"`
	}
	status, err := callJSON(limited, http.MethodPut, "http://"+address+"/stoathitch/instances/"+executor.id, body, &answer)
	if err != nil || status/100 != 2 {
		time.Sleep(50 * time.Millisecond)
		return false
	}
	if answer.HeartbeatAddr != "" {
		executor.target = answer.HeartbeatAddr
		executor.record.leadNamed(executor.zone, answer.HeartbeatAddr)
	}
	return true
}
