package fleet

import (
	"context"
	"time"

	"github.com/pearyard/pearyard/retry"
)

// Budgets lets entry VMs share the retry budget of each service. That a part of it may be
// used twice, see sharedBounds, stays within the margin that package entry keeps back of the
// whole budget.
type Budgets struct{ *sharedBounds }

// BudgetsOptions configures a Budgets.
type BudgetsOptions struct {
	Socket    *Socket
	CellPeers func() []string // addresses of the VMs that share the budget
	Size      func() int      // number of all VMs, including this one
	Ratio     float64         // retries allowed per first try
	Extra     float64         // fixed retries allowed on top, for all VMs together
	Window    time.Duration   // sliding window over which the bound holds; 0: Extra is available from the start
}

// NewBudgets returns a Budgets that communicates through opts.Socket.
func NewBudgets(opts BudgetsOptions) *Budgets {
	return &Budgets{newSharedBounds(sharedBoundsOptions{
		Kind: kindBudget, Socket: opts.Socket, Peers: opts.CellPeers, Size: opts.Size, Window: opts.Window,
		Ratio: opts.Ratio, Fixed: func(string) float64 { return opts.Extra }, StartupShare: startupShare,
	})}
}

// startupShare is the part of the fixed retries that a process may use until it is as old
// as the window. Package entry uses 85% of the budget, so it is 6.8% of the whole: less than
// half of the 15% kept back, so that two restarts within a window stay within the bound.
// Without any fixed retries, a site with little traffic cut every stream whose server failed
// during that time.
const startupShare = 0.08

// FixedShare returns the part of the fixed retries that a process may use; see fixedShare.
func FixedShare(started time.Time, window time.Duration) float64 {
	return fixedShare(started, window, startupShare)
}

// Run reports the counts of this VM to the others until ctx ends.
func (b *Budgets) Run(ctx context.Context) error { return b.run(ctx) }

// First implements exchange.SharedBudget. The window counts the first try; here the service
// becomes one of those that are reported.
func (b *Budgets) First(service string, w *retry.Window) { b.add(service, w) }

// Allow implements exchange.SharedBudget.
func (b *Budgets) Allow(service string, w *retry.Window) bool { return b.allow(service, w) }
