package suspect

import (
	"sync"
	"time"

	"github.com/pearyard/pearyard/types"
)

// completions holds when requests last ran to completion, or made progress, through this
// process. Writers share no lock.
type completions struct {
	at sync.Map // types.Fingerprint -> time.Time
}

func (c *completions) record(fp types.Fingerprint, now time.Time) { c.at.Store(fp, now) }

// since reports whether a request ran to completion or made progress after t.
func (c *completions) since(fp types.Fingerprint, t time.Time) bool {
	at, ok := c.at.Load(fp)
	return ok && at.(time.Time).After(t)
}

// expire forgets the completions before t.
func (c *completions) expire(t time.Time) {
	c.at.Range(func(fp, at any) bool {
		if at.(time.Time).Before(t) {
			c.at.Delete(fp)
		}
		return true
	})
}
