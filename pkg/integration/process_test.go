package integration_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
)

// process is one real process that can be injured and started again. Its log
// goes on in one file over all its lives.
type process struct {
	name    string
	program string
	options []string
	log     string

	mutex   sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// stopped tells that the process was stopped, or is about to be killed.
	stopped bool
	// inside tells that it is no process but runs inside the test.
	inside bool
}

func (process *process) start(t *testing.T) {
	t.Helper()
	log, err := os.OpenFile(process.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(filepath.Join(binaries, process.program), process.options...)
	command.Stdout = log
	command.Stderr = log
	// A test process that dies takes its children along.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	process.mutex.Lock()
	defer process.mutex.Unlock()
	process.command = command
	process.exited = exited
	process.stopped = false
}

// alive tells whether the process runs and is not stopped.
func (process *process) alive() bool {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	return process.runs() && !process.stopped
}

func (process *process) runs() bool {
	if process.inside {
		return true
	}
	if process.command == nil {
		return false
	}
	select {
	case <-process.exited:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process; one that has ended gets none.
func (process *process) signal(signal syscall.Signal) {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	if !process.runs() {
		return
	}
	_ = process.command.Process.Signal(signal)
	switch signal {
	case syscall.SIGSTOP:
		process.stopped = true
	case syscall.SIGCONT:
		process.stopped = false
	}
}

// kill ends the process without notice and waits until it is gone.
func (process *process) kill() {
	process.mutex.Lock()
	process.stopped = true
	process.mutex.Unlock()
	process.signal(syscall.SIGKILL)
	process.wait()
}

// wait waits for the end of the process and returns its exit code.
func (process *process) wait() int {
	process.mutex.Lock()
	command, exited := process.command, process.exited
	process.mutex.Unlock()
	if command == nil {
		return 0
	}
	<-exited
	return command.ProcessState.ExitCode()
}

func (process *process) pid() int {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	return process.command.Process.Pid
}

// resume continues a stopped process and starts one that has ended.
func (process *process) resume(t *testing.T) {
	t.Helper()
	process.mutex.Lock()
	runs := process.runs()
	process.mutex.Unlock()
	if runs {
		process.signal(syscall.SIGCONT)
		return
	}
	process.start(t)
}
