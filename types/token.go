package types

// Token is one output token of a generation, with the engine's id for it.
type Token struct {
	ID   uint32 `json:"id"`
	Text string `json:"text"`
}

// Segment records that Attempt produced the tokens from index From on.
type Segment struct {
	Attempt AttemptTag
	From    int
}

// Lineage lists the attempts that produced a generation's tokens, ordered by
// From. Two logs of a generation hold the same tokens up to index n if and only
// if their lineages agree up to n. Comparing lineages prevents tokens of two
// concurrent attempts from being mixed in one answer.
type Lineage []Segment

// Extend returns the lineage after attempt resumed the generation at index from.
// Segments that are replaced completely are dropped.
func (l Lineage) Extend(attempt AttemptTag, from int) Lineage {
	out := make(Lineage, 0, len(l)+1)
	for _, s := range l {
		if s.From < from {
			out = append(out, s)
		}
	}
	return append(out, Segment{Attempt: attempt, From: from})
}

// At returns the attempt that produced the token at index, or 0 if there is none.
func (l Lineage) At(index int) AttemptTag {
	for i := len(l) - 1; i >= 0; i-- {
		if l[i].From <= index {
			return l[i].Attempt
		}
	}
	return 0
}

// Produced reports whether attempt produced the token at index.
func (l Lineage) Produced(attempt AttemptTag, index int) bool {
	return attempt != 0 && l.At(index) == attempt
}

// Last returns the newest attempt, or 0 for an empty lineage.
func (l Lineage) Last() AttemptTag {
	if len(l) == 0 {
		return 0
	}
	return l[len(l)-1].Attempt
}

// FinishReason is the reason why a generation ended, as in the OpenAI API.
type FinishReason string

// Values of FinishReason.
const (
	FinishStop   FinishReason = "stop"
	FinishLength FinishReason = "length"
)
