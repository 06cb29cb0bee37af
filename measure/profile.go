package measure

import (
	"os"
	"path/filepath"
	"runtime/pprof"
	"syscall"
	"time"
)

// envProfile is the environment variable with a directory into which programs under
// test that are this binary write a CPU profile when they are stopped.
const envProfile = "PEARYARD_MEASURE_PROFILE"

// profileTimeout is how long a program may take to stop and write its profile.
const profileTimeout = 5 * time.Second

// runProfiled runs a program, with a CPU profile if envProfile is set.
func runProfiled(name string, run func() int) int {
	dir := os.Getenv(envProfile)
	if dir == "" {
		return run()
	}
	out, err := os.Create(filepath.Join(dir, name+".pprof"))
	if err != nil {
		return run()
	}
	defer func() { _ = out.Close() }()
	if pprof.StartCPUProfile(out) == nil {
		defer pprof.StopCPUProfile()
	}
	return run()
}

// writeProfiles stops the routers and one sidecar so that they write their profiles, if
// envProfile is set.
func (s *site) writeProfiles() {
	if os.Getenv(envProfile) == "" {
		return
	}
	for _, p := range append([]*process{s.backends[0].sidecar}, s.routers...) {
		_ = p.signal(syscall.SIGTERM)
		select {
		case <-p.done:
		case <-time.After(profileTimeout):
		}
	}
}
