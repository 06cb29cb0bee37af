package suspect

import (
	"context"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/backing"
	"github.com/pearyard/pearyard/types"
)

func (m *memoryTable) copy() map[string]backing.Row {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.rows)
}

func (m *memoryTable) comeBack(rows map[string]backing.Row) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rows = rows
}

// Guards against a quarantined request that runs again after a loss of all processes: the
// table service came back from a copy without its row, and nobody wrote it again. Its writer
// may have ended before the return.
func TestQuarantineIsWrittenAgainAfterReturnFromCopy(t *testing.T) {
	for _, writerEnds := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			table := &memoryTable{rows: map[string]backing.Row{}}
			options := Options{Table: table, QuarantinesOnly: true, Adopts: func() bool { return true }}
			writer, other := New(options), New(options)
			ctx, stop := context.WithCancel(t.Context())
			go func() { _ = writer.Run(ctx) }()
			go func() { _ = other.Run(t.Context()) }()
			from := table.copy()
			for _, death := range []string{"a/1", "b/1"} {
				writer.RecordDeath(death, []types.Fingerprint{poison})
			}
			entries, _ := writer.Deltas(0)
			other.Merge(entries)
			time.Sleep(3 * time.Second)
			g.Expect(table.copy()).To(gomega.HaveLen(1))
			if writerEnds {
				stop()
			}
			table.comeBack(from)
			writer.TableReturned()
			other.TableReturned()
			time.Sleep(rewriteSpread + 2*flushInterval)
			if !writerEnds {
				g.Expect(table.copy()).To(gomega.HaveLen(1), "its writer writes it again")
			}
			time.Sleep(adoptDelay)
			g.Expect(table.copy()).To(gomega.HaveLen(1), "writer ended: %v", writerEnds)
			stop()
		})
	}
}
