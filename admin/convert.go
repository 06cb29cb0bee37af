package admin

import (
	"strconv"
	"strings"
	"time"

	"github.com/pmezard/go-difflib/difflib"

	"github.com/pearyard/pearyard/findings"
	adminpb "github.com/pearyard/pearyard/rpc/admin"
	"github.com/pearyard/pearyard/types"
)

func revisionPB(config ConfigRevision) *adminpb.Revision {
	return &adminpb.Revision{
		Revision: uint64(config.Revision),
		Base:     uint64(config.Base),
		Who:      config.Who,
		Note:     config.Note,
		AtUnixMs: unixMilli(config.At),
		Text:     config.Raw,
	}
}

func findingsPB(list findings.List) []*adminpb.Finding {
	out := make([]*adminpb.Finding, len(list))
	for i, f := range list {
		out[i] = &adminpb.Finding{
			Severity: string(f.Severity),
			Line:     uint32(f.Line),
			Column:   uint32(f.Column),
			Pointer:  f.Pointer,
			Message:  f.Message,
		}
	}
	return out
}

func memberPB(m Member, now time.Time) *adminpb.Member {
	return &adminpb.Member{
		Process:       string(m.Process),
		Role:          string(m.Role),
		Zone:          string(m.Zone),
		Address:       m.Address,
		BackendServer: m.BackendServer,
		State:         string(m.State),
		Incarnation:   uint64(m.Incarnation),
		Revision:      uint64(m.Revision),
		InFlight:      uint32(m.InFlight),
		Load:          loadPB(m.Load, now),
	}
}

func loadPB(load *types.Load, now time.Time) *adminpb.Load {
	if load == nil {
		return nil
	}
	return &adminpb.Load{
		Running:      uint32(load.Running),
		Queued:       uint32(load.Queued),
		Capacity:     uint32(load.Capacity),
		CachedTokens: uint32(load.CachedTokens),
		StepMicros:   uint32(load.StepMicros),
		AgeMs:        now.Sub(load.At).Milliseconds(),
	}
}

func quarantinesPB(quarantines []Quarantine) []*adminpb.Quarantine {
	out := make([]*adminpb.Quarantine, len(quarantines))
	for i, q := range quarantines {
		out[i] = &adminpb.Quarantine{
			Fingerprint:  q.Fingerprint.String(),
			Organisation: string(q.Organisation),
			Deaths:       uint32(q.Deaths),
			UntilUnixMs:  unixMilli(q.Until),
		}
	}
	return out
}

// unixMilli returns 0 for the zero time.
func unixMilli(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// diffContext is how many unchanged lines a diff shows around a change.
const diffContext = 3

// lineDiff is the default of Options.Diff.
func lineDiff(from, to ConfigRevision) string {
	diff, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:        difflib.SplitLines(string(from.Raw)),
		B:        difflib.SplitLines(string(to.Raw)),
		FromFile: diffName(from),
		ToFile:   diffName(to),
		Context:  diffContext,
	})
	if err != nil {
		return err.Error()
	}
	return strings.TrimRight(diff, "\n")
}

// diffName names a configuration in a diff. Revision 0 is a configuration that was
// not applied, or the empty one before the first revision.
func diffName(config ConfigRevision) string {
	if config.Revision == 0 {
		return "text"
	}
	return "revision " + strconv.FormatUint(uint64(config.Revision), 10)
}
