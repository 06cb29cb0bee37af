package measure

import (
	"os"
	"runtime"
	"strings"
	"time"
)

// Machine describes the machine on which a result was measured.
type Machine struct {
	Cores int       `json:"cores"`
	Load  string    `json:"load_average"` // of 1, 5 and 15 minutes
	At    time.Time `json:"at"`
}

// machine returns the machine's cores and its load at this time.
func machine() Machine {
	raw, _ := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(raw))
	return Machine{Cores: runtime.NumCPU(), Load: strings.Join(fields[:min(3, len(fields))], " "), At: time.Now().UTC().Truncate(time.Second)}
}
