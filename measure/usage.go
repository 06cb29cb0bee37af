package measure

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of CPU time in /proc. Linux reports it in hundredths of a second
// on all common architectures (USER_HZ).
const clockTick = 10 * time.Millisecond

// usage is the resource use of a process so far.
type usage struct {
	cpu time.Duration
	rss int64 // bytes
}

// usageOf reads the usage of a process from /proc. It is zero if the process has ended.
func usageOf(p *process) usage {
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	var out usage
	stat, _ := os.ReadFile(dir + "stat")
	// Fields are counted after the program's name, which may contain spaces: 11 and 12 are
	// utime and stime, fields 14 and 15 in proc(5).
	_, rest, _ := strings.Cut(string(stat), ") ")
	if fields := strings.Fields(rest); len(fields) > 12 {
		user, _ := strconv.Atoi(fields[11])
		system, _ := strconv.Atoi(fields[12])
		out.cpu = time.Duration(user+system) * clockTick
	}
	status, _ := os.ReadFile(dir + "status")
	if _, after, ok := strings.Cut(string(status), "VmRSS:"); ok {
		if fields := strings.Fields(after); len(fields) > 0 {
			kilobytes, _ := strconv.ParseInt(fields[0], 10, 64)
			out.rss = kilobytes << 10
		}
	}
	return out
}
