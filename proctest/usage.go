package proctest

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/stretchr/testify/require"
)

// clockTick is the unit of processor time in /proc, USER_HZ of proc(5).
const clockTick = 10 * time.Millisecond

// Usage is what a process has used so far.
type Usage struct {
	// CPU is user and system time.
	CPU time.Duration
	// RSS is resident memory in bytes.
	RSS int64
}

// Usage reads the process's use of processor and memory from /proc.
func (p *Proc) Usage() Usage {
	p.t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	require.NoError(p.t, err)
	// Fields are counted after the program's name, which is in parentheses; proc(5).
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	const utime, stime, rss = 11, 12, 21
	return Usage{
		CPU: time.Duration(parseInt(fields[utime])+parseInt(fields[stime])) * clockTick,
		RSS: parseInt(fields[rss]) * int64(os.Getpagesize()),
	}
}

func parseInt(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}
