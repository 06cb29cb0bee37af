package measure

import (
	"os"
	"path/filepath"
	"runtime/pprof"
	"syscall"
	"time"
)

// envProfile names a directory into which programs under test that are this
// binary write a processor profile when they are stopped.
const envProfile = "PEARYARD_MEASURE_PROFILE"

// profileStop is how long a program may take to stop and write its profile.
const profileStop = 5 * time.Second

// profiled runs a program under a processor profile if one is asked for.
func profiled(name string, run func() int) int {
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

// stopProfiled lets the routers and one sidecar write their profiles.
func (s *site) stopProfiled() {
	if os.Getenv(envProfile) == "" {
		return
	}
	for _, p := range append([]*process{s.backends[0].sidecar}, s.routers...) {
		_ = p.signal(syscall.SIGTERM)
		select {
		case <-p.done:
		case <-time.After(profileStop):
		}
	}
}
