package fleet

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/retry"
)

const (
	// limitWindow is the window over which the limits of backend servers hold. What was
	// sent within it before a limit was named counts, so a server that is in need gets
	// nothing for a moment. A longer window would keep it idle for longer, a shorter one
	// would let bursts of all VMs add up.
	limitWindow = 2 * time.Second
	// leastLimit is the least number of requests a second that a server gets, whatever
	// limit it names. Only its answers tell whether it has recovered.
	leastLimit = 0.25
	// limitStartupShare is the part of a limit that a process may use until it is as old
	// as the window: it does not know what the process before it sent.
	limitStartupShare = 0.5
	// maxLimitRetryAfter bounds the Retry-After of requests refused because of limits.
	maxLimitRetryAfter = 10 * time.Second
)

// ServerLimitsOptions configures a ServerLimits.
type ServerLimitsOptions struct {
	Socket    *Socket
	Peers     func() []string // addresses of the other entry VMs
	Size      func() int      // number of all entry VMs, including this one
	Directory *directory.Directory
	Recorder  *event.Recorder
}

// ServerLimits lets entry VMs share the rate limits that backend servers name: each VM
// tells the others what a server has said to it, and how many requests it has sent there.
type ServerLimits struct {
	opts   ServerLimitsOptions
	bounds *sharedBounds
	sent   sync.Map                                // directory.Start -> *retry.Window: requests sent to a server, as retries
	logged map[directory.Start]directory.RateLimit // limits in force, as last logged; only Run's goroutine uses it

	mu       sync.Mutex
	nextCall map[string]time.Time // by service: when the newest refused request is to come again
}

// NewServerLimits returns a ServerLimits.
func NewServerLimits(opts ServerLimitsOptions) *ServerLimits {
	l := &ServerLimits{opts: opts, logged: map[directory.Start]directory.RateLimit{}, nextCall: map[string]time.Time{}}
	l.bounds = newSharedBounds(sharedBoundsOptions{
		Kind: kindServerCounts, Socket: opts.Socket, Peers: opts.Peers, Size: opts.Size, Window: limitWindow,
		Fixed: l.requestsPerWindow, StartupShare: limitStartupShare, Small: true,
	})
	opts.Socket.handle(kindServerLimits, l.receive)
	return l
}

// requestsPerWindow returns how many requests all VMs may send to a server in a window.
func (l *ServerLimits) requestsPerWindow(start string) float64 {
	s := l.opts.Directory.View().ByHash(directory.Hash(start))
	if s == nil {
		return 0
	}
	return effectiveLimit(s.RateLimit()) * limitWindow.Seconds()
}

func effectiveLimit(limit directory.RateLimit) float64 { return max(leastLimit, limit.PerSecond) }

// Take implements exchange.ServerLimits. It takes no lock for a server without a limit.
func (l *ServerLimits) Take(s *directory.Server) bool {
	w := l.window(s)
	limit := s.RateLimit()
	if !limit.Limited {
		w.RecordRetry()
		return true
	}
	w.SetLimits(0, effectiveLimit(limit)*limitWindow.Seconds()/float64(max(1, l.opts.Size())))
	return l.bounds.allow(s.Start.String(), w)
}

// window returns the count of the requests that this VM has sent to a server.
func (l *ServerLimits) window(s *directory.Server) *retry.Window {
	if w, ok := l.sent.Load(s.Start); ok {
		return w.(*retry.Window)
	}
	w, _ := l.sent.LoadOrStore(s.Start, retry.NewWindow(limitWindow, nil))
	return w.(*retry.Window)
}

// RetryAfter implements exchange.ServerLimits. Refused requests come again at the rate that
// is this VM's part of the service's limits.
func (l *ServerLimits) RetryAfter(service string) time.Duration {
	rate := 0.0
	for _, s := range l.opts.Directory.View().Service(service) {
		if limit := s.RateLimit(); limit.Limited {
			rate += effectiveLimit(limit)
		}
	}
	if rate == 0 {
		return 0
	}
	gap := time.Duration(float64(max(1, l.opts.Size())) / rate * float64(time.Second))
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	next := l.nextCall[service]
	if next.Before(now) {
		next = now
	}
	next = next.Add(gap)
	if next.Sub(now) > maxLimitRetryAfter {
		return maxLimitRetryAfter
	}
	l.nextCall[service] = next
	return next.Sub(now)
}

// Run exchanges limits and counts with the other VMs and logs changes of limits until ctx
// ends.
func (l *ServerLimits) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return l.bounds.run(ctx) })
	group.Go(func() error { return l.watchLimits(ctx) })
	return group.Wait()
}

func (l *ServerLimits) watchLimits(ctx context.Context) error {
	ticker := time.NewTicker(resendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-l.opts.Directory.LimitChanged():
		}
		known := l.opts.Directory.RateLimits(time.Now())
		limited := l.shareCounts(known)
		l.dropUnused(limited)
		l.sendLimits(known)
		l.logChanges(known)
		if err := retry.Wait(ctx, minSendInterval); err != nil {
			return err
		}
	}
}

// shareCounts has the counts of the servers with limits reported, those that this VM has
// not sent anything to among them: only VMs that are heard share a limit. It returns these
// servers.
func (l *ServerLimits) shareCounts(known []directory.LimitedServer) (limited map[string]bool) {
	limited = make(map[string]bool, len(known))
	for _, s := range known {
		if s.Limited {
			limited[s.Start.String()] = true
			l.bounds.add(s.Start.String(), l.window(s.Server))
		}
	}
	l.bounds.keep(func(start string) bool { return limited[start] })
	return limited
}

// dropUnused drops the counts of servers that got nothing within the window. Those of the
// servers with limits are in use by bounds.
func (l *ServerLimits) dropUnused(limited map[string]bool) {
	l.sent.Range(func(start, w any) bool {
		if _, sent := w.(*retry.Window).Counts(); sent == 0 && !limited[start.(directory.Start).String()] {
			l.sent.Delete(start)
		}
		return true
	})
}

// sendLimits tells the other VMs what servers have said to this one.
func (l *ServerLimits) sendLimits(known []directory.LimitedServer) {
	var list []reportedLimit
	for _, s := range known {
		if !s.ByPeer {
			list = append(list, reportedLimit{server: s.Hash(), limited: s.Limited, perSecond: s.PerSecond, age: time.Since(s.At)})
		}
	}
	for len(list) > 0 {
		n := min(len(list), maxReportedLimits)
		l.opts.Socket.SendTo(encodeServerLimits(list[:n]), l.opts.Peers())
		list = list[n:]
	}
}

// receive handles what servers have said to another VM.
func (l *ServerLimits) receive(_ string, _ header, raw []byte, now time.Time) bool {
	list, ok := decodeServerLimits(raw)
	if !ok {
		return false
	}
	for _, r := range list {
		l.opts.Directory.RecordPeerRateLimit(r.server, directory.RateLimit{Limited: r.limited, PerSecond: r.perSecond, At: now.Add(-r.age)})
	}
	return true
}

// logChanges logs limits that were named, changed or lifted since the last call, and those
// of servers that are gone.
func (l *ServerLimits) logChanges(known []directory.LimitedServer) {
	inForce := make(map[directory.Start]bool, len(known))
	for _, s := range known {
		if !s.Limited {
			continue
		}
		inForce[s.Start] = true
		if old, logged := l.logged[s.Start]; !logged || old.PerSecond != s.PerSecond {
			l.opts.Recorder.Emit(EventServerLimit, "server", s.Start, "service", s.Service, "zone", s.Zone, "limit", s.PerSecond, "before", old.PerSecond, "by_peer", s.ByPeer)
		}
		l.logged[s.Start] = s.RateLimit
	}
	for start, old := range l.logged {
		if !inForce[start] {
			delete(l.logged, start)
			l.opts.Recorder.Emit(EventServerLimitLifted, "server", start, "before", old.PerSecond)
		}
	}
}
