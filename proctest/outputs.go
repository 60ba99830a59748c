package proctest

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

// processOutput reads the output of a process from a pipe. Its reader can stand still or go away.
type processOutput struct {
	lockedBuffer

	readers sync.WaitGroup
	// exited is closed when the process has exited, from when on the reader does not stand still.
	exited chan struct{}

	stateMu sync.Mutex
	pipe    *os.File
	// finished is true once the process has exited.
	finished bool
	// held is closed when the reader goes on; it is nil if the reader does not stand still.
	held chan struct{}
}

// read starts to read from a pipe.
func (o *processOutput) read(pipe *os.File) {
	o.stateMu.Lock()
	defer o.stateMu.Unlock()
	if o.finished {
		pipe.Close()
		return
	}
	o.pipe = pipe
	o.readers.Go(func() {
		defer pipe.Close()
		buffer := make([]byte, 32<<10)
		for {
			o.waitWhileHeld()
			n, err := pipe.Read(buffer)
			_, _ = o.Write(buffer[:n])
			if err != nil {
				return
			}
		}
	})
}

// finish waits until the rest of the output of a process that has exited is read.
func (o *processOutput) finish() {
	o.stateMu.Lock()
	o.finished = true
	o.stateMu.Unlock()
	close(o.exited)
	o.readers.Wait()
}

func (o *processOutput) waitWhileHeld() {
	o.stateMu.Lock()
	held := o.held
	o.stateMu.Unlock()
	if held == nil {
		return
	}
	select {
	case <-held:
	case <-o.exited:
	}
}

// hold makes the reader stand still for the given time.
func (o *processOutput) hold(length time.Duration) {
	held := make(chan struct{})
	o.setHeld(held)
	time.Sleep(length)
	o.setHeld(nil)
	close(held)
}

func (o *processOutput) setHeld(held chan struct{}) {
	o.stateMu.Lock()
	defer o.stateMu.Unlock()
	o.held = held
}

// dropReader closes the reading end of a process's output for the given time. Then the output is read again, as by a log
// collector that was restarted.
func (p *Proc) dropReader(length time.Duration) {
	p.out.stateMu.Lock()
	pipe := p.out.pipe
	p.out.stateMu.Unlock()
	pipe.Close()
	time.Sleep(length)
	// A process that has ended has no output to open. Without O_NONBLOCK, one that ends now would block the call.
	output := fmt.Sprintf("/proc/%d/fd/1", p.cmd.Process.Pid)
	if again, err := os.OpenFile(output, os.O_RDONLY|syscall.O_NONBLOCK, 0); err == nil {
		p.out.read(again)
	}
}
