package measure

import (
	"context"
	"fmt"
	"time"

	"github.com/pearyard/pearyard/text"
)

// DialPoint is the result for one set of recovery settings.
type DialPoint struct {
	After              int          `json:"journal_after_ms"`
	Peers              int          `json:"journal_peers"`
	Batch              int          `json:"journal_batch_ms"`
	Silence            int          `json:"silence_ms"`
	Loss               ResumeResult `json:"loss"`
	Restarts           int          `json:"answers_begun_anew"`
	Discarded          Spread       `json:"tokens_thrown_away"` // generated tokens that no caller kept
	PrefilledForResume Spread       `json:"tokens_prefilled_for_resume"`
	JournalBytes       Spread       `json:"journal_bytes_per_token"`
	FalseLosses        float64      `json:"false_losses"` // resumes in all runs without a loss; only measured with CauseVMFrozen
}

// String returns the point as one line.
func (p DialPoint) String() string {
	return fmt.Sprintf("after %5d peers %d batch %3d silence %4d  %-20s p50 %5.0f p99 %5.0f ms  begun anew %2d  thrown away %5.0f  prefilled again %5.0f  journal %4.1f B/token  not whole %d  false losses %.0f  load %s",
		p.After, p.Peers, p.Batch, p.Silence, p.Loss.Cause, p.Loss.Latency.P50, p.Loss.Latency.P99, p.Restarts, p.Discarded.Median,
		p.PrefilledForResume.Median, p.JournalBytes.Median, p.Loss.Incomplete, p.FalseLosses, p.Loss.Machine.Load)
}

// journalBase holds the values that the other journal settings have while one is varied.
var journalBase = text.Recovery{JournalAfterMillis: 500, JournalPeers: 1, JournalBatchMillis: 100}

// Dial measures a range of recovery settings: those of the journal with the loss of a VM
// together with the router, where only journal peers have the tokens; the silence limit
// with a frozen VM, and without a loss, where each resume is a false alarm.
func Dial(ctx context.Context, opts ResumeOptions) ([]DialPoint, error) {
	var out []DialPoint
	opts.LossAt = 3 * time.Second // after journalAfterMillis, except for the value 8000
	opts.Load.Tokens = 600        // so that generations still run at that time
	for _, setting := range journalSettings() {
		point, err := dialPoint(ctx, opts, setting, CauseVMAndRouter)
		if err != nil {
			return out, err
		}
		out = append(out, point)
	}
	for _, silence := range []int{600, 800, 1000, 1500} {
		setting := text.DefaultRecovery()
		setting.SilenceMillis = silence
		point, err := dialPoint(ctx, opts, setting, CauseVMFrozen)
		if err != nil {
			return out, err
		}
		out = append(out, point)
	}
	return out, nil
}

// journalSettings returns journalBase with one setting varied at a time, and two
// combinations: everything journalled at once to two peers, and late in large batches.
func journalSettings() []text.Recovery {
	var out []text.Recovery
	add := func(after, peers, batch int) {
		setting := text.DefaultRecovery()
		setting.JournalAfterMillis, setting.JournalPeers, setting.JournalBatchMillis = after, peers, batch
		out = append(out, setting)
	}
	for _, after := range []int{0, 500, 2000, 8000} {
		add(after, journalBase.JournalPeers, journalBase.JournalBatchMillis)
	}
	for _, peers := range []int{0, 2} {
		add(journalBase.JournalAfterMillis, peers, journalBase.JournalBatchMillis)
	}
	for _, batch := range []int{0, 10, 40, 500} {
		add(journalBase.JournalAfterMillis, journalBase.JournalPeers, batch)
	}
	add(0, 2, 0)
	add(8000, 1, 500)
	return out
}

// dialPoint measures one set of recovery settings with a loss. For the silence limit
// (CauseVMFrozen) it also measures them without one.
func dialPoint(ctx context.Context, opts ResumeOptions, setting text.Recovery, cause Cause) (DialPoint, error) {
	opts.Recovery = setting
	loss, err := resumeCase(ctx, opts, cause, ModeSystem)
	if err != nil {
		return DialPoint{}, err
	}
	point := DialPoint{After: setting.JournalAfterMillis, Peers: setting.JournalPeers, Batch: setting.JournalBatchMillis,
		Silence: setting.SilenceMillis, Loss: loss}
	var discarded, prefilled, bytes []float64
	for _, r := range loss.Runs {
		point.Restarts += r.Restarted
		discarded = append(discarded, float64(r.Discarded))
		prefilled = append(prefilled, r.PrefilledForResume)
		bytes = append(bytes, r.JournalBytes/float64(max(r.Delivered, 1)))
	}
	point.Discarded, point.PrefilledForResume, point.JournalBytes = spreadOf(discarded), spreadOf(prefilled), spreadOf(bytes)
	if cause == CauseVMFrozen {
		withoutLoss, err := resumeCase(ctx, opts, CauseNone, ModeSystem)
		if err != nil {
			return point, err
		}
		for _, r := range withoutLoss.Runs {
			point.FalseLosses += r.ResumesByRouter
		}
	}
	fmt.Fprintln(opts.Progress, point)
	return point, nil
}
