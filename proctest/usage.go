package proctest

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/stretchr/testify/require"
)

// clockTick is the unit of CPU time in /proc, see USER_HZ in proc(5).
const clockTick = 10 * time.Millisecond

// Usage is the resource usage of a process since its start.
type Usage struct {
	// CPU is the sum of user and system time.
	CPU time.Duration
	// RSS is the resident memory in bytes.
	RSS int64
}

// Usage reads the CPU time and memory of the process from /proc.
func (p *Proc) Usage() Usage {
	p.t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	require.NoError(p.t, err)
	// Field indexes count from the field after the program name, which is in parentheses, see proc(5).
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	const utime, stime, rss = 11, 12, 21
	return Usage{
		CPU: time.Duration(parseInt(fields[utime])+parseInt(fields[stime])) * clockTick,
		RSS: parseInt(fields[rss]) * int64(os.Getpagesize()),
	}
}

// PeakRSS returns the largest resident memory of the process so far in bytes.
func (p *Proc) PeakRSS() int64 {
	p.t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(p.t, err)
	_, rest, _ := strings.Cut(string(raw), "VmHWM:")
	fields := strings.Fields(rest)
	require.NotEmpty(p.t, fields)
	return parseInt(fields[0]) << 10
}

// OpenDescriptors returns the number of open descriptors of the process.
func (p *Proc) OpenDescriptors() int {
	p.t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	require.NoError(p.t, err)
	return len(entries)
}

func parseInt(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}
