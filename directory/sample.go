package directory

import "math/rand/v2"

const (
	// sampleSize is how many servers outside its partition a process considers for a stream
	// after a disruption. The processes of a cell know the same few idle servers, and none
	// of what the others place at the same moment: with many more, their streams pile up
	// on these few; with one, the known load would not matter.
	sampleSize = 8
	// unsampledWeight equals four long prompts: a server that was not drawn is better than
	// one where a prompt would wait that long.
	unsampledWeight = 32000.0
)

// sampleShare is the probability with which a server of a list is drawn.
func sampleShare(servers int) float64 { return min(1, sampleSize/float64(max(1, servers))) }

// isUnsampled draws whether a choice after a disruption leaves a server out.
func (q Query) isUnsampled(c candidate) bool {
	return c.outsidePartition && rand.Float64() >= q.sampleShare
}
