package rig

import (
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// starts are the commands to start. One thread starts them all: Pdeathsig acts when the thread that started a process
// ends, and the Go runtime ends threads while the program runs on.
var starts = make(chan startRequest)

type startRequest struct {
	cmd    *exec.Cmd
	result chan error
}

func init() {
	go func() {
		runtime.LockOSThread()
		for s := range starts {
			s.result <- s.cmd.Start()
		}
	}()
}

func startCommand(cmd *exec.Cmd) error {
	s := startRequest{cmd: cmd, result: make(chan error)}
	starts <- s
	return <-s.result
}

// Proc is a program of the deploy file that runs as a separate process.
type Proc struct {
	Name string

	program, settings, log string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// Start starts the process, or starts it again.
func (p *Proc) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(p.program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LAVENDERMOOR_SETTINGS=" + p.settings}
	cmd.Stdout, cmd.Stderr = out, out
	// The kernel ends the process if this one ends first.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startCommand(cmd); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// Pid returns the id of the process.
func (p *Proc) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Exited reports whether the process has ended.
func (p *Proc) Exited() bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// Kill sends SIGKILL and waits for the end.
func (p *Proc) Kill() {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-done
}

// Signal sends a signal.
func (p *Proc) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
}

// WaitExit waits for the end, at most for the duration.
func (p *Proc) WaitExit(d time.Duration) bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	select {
	case <-done:
		return true
	case <-time.After(d):
		return false
	}
}

// NewProc returns a process that is not started. The settings are written to a file in the folder.
func NewProc(dir, name, program string, settings []byte) (*Proc, error) {
	file := filepath.Join(dir, name+".json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return nil, err
	}
	return &Proc{Name: name, program: program, settings: file, log: filepath.Join(dir, name+".log")}, nil
}
