package types

// Token is one unit of a generation's output as its engine names it.
type Token struct {
	ID   uint32 `json:"id"`
	Text string `json:"text"`
}

// Segment says that from index From on, tokens were produced by Attempt.
type Segment struct {
	Attempt AttemptTag
	From    int
}

// Lineage lists the attempts that a generation's tokens came from, in order of
// From. Two logs of one generation hold the same answer up to index n exactly
// if their lineages agree up to n; comparing lineages is what keeps tokens of
// two attempts that ran side by side from being joined into one answer.
type Lineage []Segment

// Extend returns the lineage of a resume by attempt at index from. Segments
// that the resume replaces whole are dropped.
func (l Lineage) Extend(attempt AttemptTag, from int) Lineage {
	out := make(Lineage, 0, len(l)+1)
	for _, s := range l {
		if s.From < from {
			out = append(out, s)
		}
	}
	return append(out, Segment{Attempt: attempt, From: from})
}

// At returns the attempt that produced the token at index; 0 if there is none.
func (l Lineage) At(index int) AttemptTag {
	for i := len(l) - 1; i >= 0; i-- {
		if l[i].From <= index {
			return l[i].Attempt
		}
	}
	return 0
}

// Produced reports whether the token at index came from attempt in this lineage.
func (l Lineage) Produced(attempt AttemptTag, index int) bool {
	return attempt != 0 && l.At(index) == attempt
}

// Last returns the attempt that produces new tokens; 0 for an empty lineage.
func (l Lineage) Last() AttemptTag {
	if len(l) == 0 {
		return 0
	}
	return l[len(l)-1].Attempt
}

// FinishReason says why a generation ended, in OpenAI's words.
type FinishReason string

// Reasons a generation ends.
const (
	FinishStop   FinishReason = "stop"
	FinishLength FinishReason = "length"
)
