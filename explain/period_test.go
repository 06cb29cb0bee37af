package explain

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/exchange"
)

// testObjectives is the line in which a process logs its objectives.
const testObjectives = `level=info ts=2026-10-02T12:00:00Z process=edge-1 event=PY2700 name=site_config_applied version=2 objectives=at_most_once:300ms,idempotent:300ms,stream:4.5s/700ms` + "\n"

// lineOf returns a log line; at is the minutes and seconds of its time.
func lineOf(process, at, number, rest string) string {
	return fmt.Sprintf("level=info ts=2026-10-02T12:%sZ process=%s event=%s name=x %s\n", at, process, number, rest)
}

func read(t *testing.T, files ...string) *Period {
	t.Helper()
	p := NewPeriod(nil)
	for i, text := range files {
		if err := p.Read(strings.NewReader(text), fmt.Sprintf("file%d", i)); err != nil {
			t.Fatal(err)
		}
	}
	return p
}

// On-call engineers know that answers were slow between two times. The summary
// counts the requests that arrived then, by kind and outcome.
func TestSummaryCountsByKindAndArrival(t *testing.T) {
	g := gomega.NewWithT(t)
	logs := testObjectives +
		lineOf("edge-1", "01:00.2", "PY2720", "request=a route=r1 kind=idempotent took=100ms sent=1 server=i-1 status=200 ended_by=answer") +
		lineOf("edge-1", "01:04.9", "PY2720", "request=b route=r1 kind=idempotent took=4.8s sent=1 server=i-1 status=200 ended_by=answer") +
		lineOf("edge-1", "01:00.3", "PY2720", "request=c route=r1 kind=idempotent took=10ms sent=1 server=i-1 status=500 ended_by=server") +
		lineOf("edge-1", "01:05.5", "PY2720", "request=d route=r2 kind=stream took=5.2s first=4.4s pause=699ms ran=1 ended_by=answer") +
		lineOf("edge-1", "01:05.5", "PY2720", "request=e route=r2 kind=stream took=5.2s first=4.4s pause=701ms ran=1 ended_by=answer") +
		lineOf("edge-1", "01:01.5", "PY2723", "request=f route=r2 kind=stream took=1s first=0s pause=0s ended_by=caller") +
		lineOf("edge-1", "01:01.5", "PY2721", `request=g route=r2 kind=stream took=10µs first=0s pause=0s ended_by=no_server err="exchange: no backend server takes the request"`) +
		lineOf("edge-1", "01:01.6", "PY2750", "request=h status=404 version=9 ended_by=configuration")
	s := read(t, logs).Summary(View{Span: 2 * time.Second, Worst: 1})

	g.Expect(s.From).To(gomega.Equal(time.Date(2026, 10, 2, 12, 1, 0, 0, time.UTC)))
	g.Expect(s.Objectives).To(gomega.HaveKeyWithValue("stream", Objective{4500 * time.Millisecond, 700 * time.Millisecond}))
	g.Expect(s.Kinds).To(gomega.Equal([]KindCounts{
		{Kind: "idempotent", Counts: Counts{Sent: 3, InTime: 1, Late: 1, Failed: 1}},
		{Kind: "stream", Counts: Counts{Sent: 4, InTime: 1, Late: 1, Refused: 1, Left: 1}},
		{Kind: unknownKind, Counts: Counts{Rejected: 1}},
	}))
	g.Expect(s.Kinds[1].Share()).To(gomega.BeNumerically("~", 1.0/3, 1e-9), "a caller that left of its own accord is not counted")
	g.Expect(s.Spans).To(gomega.HaveLen(1), "by arrival, not by the end")
	g.Expect(s.Worst).To(gomega.Equal([]int{0}))
}

// Tests each rule with the lines that a process writes in that case.
func TestSummaryCauses(t *testing.T) {
	zoneLoss := lineOf("edge-1", "01:02.0", "PY2726", "server=i-1 service=m zone=errol err=x") +
		lineOf("edge-2", "01:02.5", "PY2726", "server=i-2 service=m zone=errol err=x") +
		lineOf("edge-3", "01:02.9", "PY2726", "server=i-3 service=m zone=errol err=x")
	again := func(err string) string {
		return lineOf("edge-1", "01:02.1", "PY2724", `request=a route=r after=i-1 reached=9 err="`+err+`"`)
	}
	lateStream := lineOf("edge-1", "01:08.0", "PY2720", "request=a route=r kind=stream took=8s first=1s pause=3s server=i-9 ended_by=answer")
	resumed := func(how, after string) string {
		return lineOf("edge-1", "01:05.0", "PY2725", "request=a route=r server=i-9 reached=9 how="+how+" after="+after)
	}
	for name, c := range map[string]struct {
		logs string
		want Cause
	}{
		"a zone": {again("exchange: broken: unexpected EOF") + lateStream + zoneLoss, CauseZoneLost},
		"a zone's two servers are none": {
			again("exchange: broken: unexpected EOF") + lateStream + strings.Join(strings.SplitAfter(zoneLoss, "\n")[:2], ""), CauseServerLost,
		},
		"a zone long after": {again("exchange: broken: unexpected EOF") + lateStream + strings.ReplaceAll(zoneLoss, "T12:01", "T12:02"), CauseServerLost},
		"silent":            {again("exchange: the backend server fell silent") + lateStream, CauseServerSilent},
		"silent and lost": {
			again("exchange: the backend server fell silent") + lateStream + strings.SplitAfter(zoneLoss, "\n")[0], CauseServerLost,
		},
		"silent in a zone that is lost, and not known to be down yet": {
			again((&exchange.SilentError{Silence: 400 * time.Millisecond, Alive: true}).Error()) + lateStream + zoneLoss, CauseZoneLost,
		},
		"own pause": {resumed("copy", "40ms") + again("exchange: broken: unexpected EOF") + lateStream, CauseServerPause},
		"copy": {
			lineOf("edge-1", "01:01.2", "PY2729", "request=a server=i-1 lost=i-4 to=i-5 took=9ms err=null") +
				again("exchange: broken: unexpected EOF") + resumed("copy", "3s") + lateStream + zoneLoss, CauseCopyReplaced,
		},
		"a copy that is replaced after the loss": {
			again("exchange: broken: unexpected EOF") + lineOf("edge-1", "01:02.2", "PY2729", "request=a server=i-1 lost=i-4 to=i-5 took=9ms err=null") +
				resumed("prompt_read_again", "3s") + lateStream, CauseServerLost,
		},
		"no copy event":  {resumed("prompt_read_again", "3s") + lateStream, CauseNoCopy},
		"pause":          {lateStream, CauseServerPause},
		"queue":          {lineOf("edge-1", "01:08.0", "PY2720", "request=a route=r kind=stream took=8s first=5s pause=1ms server=i-9 ended_by=answer"), CauseQueue},
		"full":           {again("exchange: not run: busy: 503") + lineOf("edge-1", "01:08.0", "PY2720", "request=a route=r kind=idempotent took=8s status=200 ended_by=answer"), CauseServerBusy},
		"waited":         {lineOf("edge-1", "01:08.0", "PY2723", "request=a route=r kind=stream took=8s first=0s pause=0s ended_by=caller"), CauseQueue},
		"500":            {lineOf("edge-1", "01:08.0", "PY2720", "request=a route=r kind=idempotent took=8ms status=500 ended_by=server"), CauseServerFailed},
		"cut":            {lineOf("edge-1", "01:08.0", "PY2734", "request=a route=r kind=stream took=8s first=1s pause=1ms ended_by=stop"), CauseStop},
		"link":           {lineOf("edge-1", "01:08.0", "PY2735", "request=a route=r kind=stream took=8s first=1s pause=1ms ended_by=caller_link"), CauseCaller},
		"budget":         {lineOf("edge-1", "01:08.0", "PY2721", `request=a route=r kind=idempotent took=8ms ended_by=limit err="exchange: retry budget spent"`), CauseRetryBudget},
		"stop":           {lineOf("edge-1", "01:08.0", "PY2756", "request=a route=r need=7s left=1s ended_by=stop"), CauseStop},
		"server limits":  {lineOf("edge-1", "01:08.0", "PY2721", `request=a route=r kind=idempotent took=1ms err="`+exchange.ErrServerLimits.Error()+`" ended_by=limit`), CauseServerLimit},
		"servers rest":   {lineOf("edge-1", "01:08.0", "PY2721", `request=a route=r kind=idempotent took=1ms err="`+exchange.ErrServersRest.Error()+`" ended_by=limit`), CauseServerRest},
		"memory":         {lineOf("edge-1", "01:08.0", "PY2721", `request=a route=r kind=stream took=1ms first=0s pause=0s err="`+exchange.ErrNoMemory.Error()+`" ended_by=no_server`), CauseMemory},
		"memory, cut":    {lineOf("edge-1", "01:08.0", "PY2722", `request=a route=r kind=stream took=1ms first=0s pause=0s err="`+exchange.ErrNoMemory.Error()+`" ended_by=no_server`), CauseMemory},
		"places taken":   {lineOf("edge-1", "01:08.0", "PY2721", `request=a route=r kind=at_most_once took=100ms err="`+exchange.ErrPlacesTaken.Error()+`" ended_by=no_server`), CausePlaces},
		"waited, stop":   {lineOf("edge-1", "01:08.0", "PY2721", `request=a route=r kind=at_most_once took=20ms err="`+exchange.ErrStopWaiting.Error()+`" ended_by=stop`), CauseStop},
		"version gone":   {lineOf("edge-1", "01:08.0", "PY2721", `request=a route=r kind=stream took=1ms first=0s pause=0s err="`+exchange.ErrVersionGone.Error()+`" ended_by=version`), CauseVersion},
		"version cut":    {lineOf("edge-1", "01:08.0", "PY2722", `request=a route=r kind=stream took=1ms first=0s pause=0s err="`+exchange.ErrVersionGone.Error()+`" ended_by=version`), CauseVersion},
		"crashes, ended": {again("exchange: broken: x") + lineOf("edge-1", "01:08.0", "PY2722", `request=a route=r kind=stream took=6s first=0s pause=0s server=i-1 err="exchange: broken: x: `+exchange.ErrQuarantined.Error()+`" ended_by=limit`), CauseQuarantined},
		"crashes":        {lineOf("edge-1", "01:08.0", "PY2727", "request=a route=r fingerprint=1 ended_by=limit"), CauseQuarantined},
		"crashes, held":  {lineOf("edge-1", "01:08.0", "PY2721", `request=a route=r kind=stream took=1s first=0s pause=0s err="`+exchange.ErrHeld.Error()+`: context deadline exceeded" ended_by=limit`), CauseQuarantined},
		"start":          {lineOf("edge-1", "01:08.0", "PY2751", "request=a missing=list ended_by=start"), CauseStart},
		"store": {
			lineOf("edge-1", "01:00.0", "PY2702", "err=refused") + lineOf("edge-1", "01:08.0", "PY2751", "request=a missing=list ended_by=start"), CauseStoreUnavailable,
		},
		"store is back": {
			lineOf("edge-1", "01:00.0", "PY2702", "err=refused") + lineOf("edge-1", "01:01.0", "PY2703", "after=1s") +
				lineOf("edge-1", "01:08.0", "PY2751", "request=a missing=list ended_by=start"), CauseStart,
		},
		"timeout": {again("exchange: broken: x") + lineOf("edge-1", "01:08.0", "PY2722", "request=a route=r kind=idempotent took=8s server=i-1 ended_by=route_timeout"), CauseServerLost},
		"gone": {
			lineOf("edge-1", "01:02.0", "PY2732", "requests=a@i-1") + lineOf("edge-2", "01:02.5", "PY2752", "") + lineOf("edge-1", "01:03.0", "PY2752", ""), CauseProcessLost,
		},
		"admission":     {lineOf("edge-1", "01:08.0", "PY2721", `request=a route=r kind=stream took=8ms first=0s pause=0s ended_by=no_server err="`+new(exchange.LateError).Error()+`"`), CauseAdmission},
		"behind others": {lineOf("edge-1", "01:08.0", "PY2721", `request=a route=r kind=stream took=8ms first=0s pause=0s ended_by=no_server err="`+new(exchange.OverloadError).Error()+`"`), CauseAdmission},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := read(t, testObjectives+c.logs).Summary(View{})
			g.Expect(s.Causes).To(gomega.HaveLen(1))
			g.Expect(s.Causes[0].Cause).To(gomega.Equal(c.want))
			g.Expect(s.Causes[0].Examples).To(gomega.HaveLen(1))
			g.Expect(s.Causes[0].Examples[0].Request).To(gomega.Equal("a"))
			g.Expect(s.Unusable).To(gomega.BeEmpty())
		})
	}
}

// After an outage all callers retry at once, and streams queue at healthy servers.
// The cause is the surge, also in the seconds just after it.
func TestSummaryDetectsSurges(t *testing.T) {
	g := gomega.NewWithT(t)
	logs := testObjectives
	for second := range 20 {
		count := 3
		if second == 10 {
			count = 9
		}
		for i := range count {
			first := "1s"
			if i == 0 {
				first = "5s"
			}
			logs += lineOf("edge-1", fmt.Sprintf("01:%02d.5", second+6), "PY2720",
				fmt.Sprintf("request=s%d-%d route=r kind=stream took=6s first=%s pause=1ms server=i-9 ended_by=answer", second, i, first))
		}
	}
	s := read(t, logs).Summary(View{})
	got := map[Cause]int{}
	for _, c := range s.Causes {
		got[c.Cause] = c.Late
	}
	g.Expect(got).To(gomega.Equal(map[Cause]int{CauseQueue: 17, CauseSurge: 3}))
}

// A VM stalls for three seconds, and all streams through it pause. The lines of the
// process show a pause for each stream, with five healthy servers.
func TestSummaryDetectsAStalledProcess(t *testing.T) {
	g := gomega.NewWithT(t)
	logs := testObjectives
	for i := range 5 {
		logs += lineOf("edge-1", fmt.Sprintf("01:%02d.5", 12+i), "PY2720",
			fmt.Sprintf("request=a%d route=r kind=stream took=6s first=1s pause=3.0%ds server=i-%d ended_by=answer", i, i, i))
	}
	logs += lineOf("edge-2", "01:12.5", "PY2720", "request=b route=r kind=stream took=6s first=1s pause=3.02s server=i-1 ended_by=answer")
	s := read(t, logs).Summary(View{})
	got := map[Cause]int{}
	for _, c := range s.Causes {
		got[c.Cause] = c.Late
	}
	g.Expect(got).To(gomega.Equal(map[Cause]int{CauseProcessStalled: 5, CauseServerPause: 1}))
}

// The end of a log is truncated, a collector interleaved two lines, and a line is
// damaged. The other lines are used, and the unusable ones are counted by reason.
func TestSummaryCountsLinesThatItCannotUse(t *testing.T) {
	g := gomega.NewWithT(t)
	good := lineOf("edge-1", "01:08.0", "PY2720", "request=a route=r kind=idempotent took=8ms status=200 ended_by=answer dropped_info=7")
	logs := "some other program's words\n" + testObjectives +
		" 1.25 edge-1 " + good +
		strings.TrimSuffix(good, "\n")[:60] + good +
		strings.ReplaceAll(good, "took=8ms", "took=8") +
		strings.ReplaceAll(good, "took=8ms", "") +
		strings.ReplaceAll(good, "2026-10-02T", "2026-") +
		lineOf("edge-1", "01:08.0", "PY2720", "x="+strings.Repeat("y", maxLineBytes)) +
		"level=error ts=2026-10-02T12:01:09Z process=edge-1 event=PY2722 request=z err=\"exchange: br\\\n" +
		strings.TrimSuffix(good, "ended_by=answer dropped_info=7\n")
	s := read(t, logs).Summary(View{})
	g.Expect(s.Kinds).To(gomega.HaveLen(1))
	g.Expect(s.Kinds[0].Counts).To(gomega.Equal(Counts{Sent: 1, InTime: 1}))
	g.Expect(s.Unusable).To(gomega.ConsistOf(
		UnusableLines{errTruncated.Error(), 3, "file0:6"},
		UnusableLines{errInterleaved.Error(), 1, "file0:4"},
		UnusableLines{errBadValue.Error(), 1, "file0:5"},
		UnusableLines{errBadTime.Error(), 1, "file0:7"},
		UnusableLines{errTooLong.Error(), 1, "file0:8"},
	))
	g.Expect(s.Dropped).To(gomega.Equal(7 * 3))
}

// A complete last line is used even without a newline.
func TestSummaryUsesTheLastLine(t *testing.T) {
	g := gomega.NewWithT(t)
	last := lineOf("edge-1", "01:08.0", "PY2720", "request=a route=r kind=idempotent took=8ms status=200 ended_by=answer")
	s := read(t, testObjectives+strings.TrimSuffix(last, "\n")).Summary(View{})
	g.Expect(s.Kinds[0].Sent).To(gomega.Equal(1))
}

// Spans are ranked by the mean share over the kinds, not by the number of requests:
// a few late streams count as much as many plain calls.
func TestSummaryNamesTheWorstSpans(t *testing.T) {
	g := gomega.NewWithT(t)
	logs := testObjectives
	for i := range 40 {
		took := "10ms"
		if i%10 == 0 {
			took = "400ms"
		}
		logs += lineOf("edge-1", "01:00.9", "PY2720", fmt.Sprintf("request=p%d route=r kind=idempotent took=%s status=200 ended_by=answer", i, took))
	}
	logs += lineOf("edge-1", "01:04.9", "PY2720", "request=p route=r kind=idempotent took=10ms status=200 ended_by=answer")
	logs += lineOf("edge-1", "01:12.0", "PY2720", "request=q route=s kind=stream took=7.5s first=5s pause=1ms ended_by=answer")
	s := read(t, logs).Summary(View{Span: 2 * time.Second, Worst: 2})
	g.Expect(s.Spans).To(gomega.HaveLen(2))
	g.Expect(s.Spans[s.Worst[0]].From.Second()).To(gomega.Equal(4))
	g.Expect(s.Spans[s.Worst[0]].Share).To(gomega.BeNumerically("~", 0.5, 1e-9))
	cut := read(t, logs).Summary(View{Span: 2 * time.Second, To: s.Spans[1].From})
	g.Expect(cut.Kinds).To(gomega.HaveLen(1))
	g.Expect(cut.Kinds[0].Sent).To(gomega.Equal(40))
}

// Objectives set by the operator override those in the lines.
func TestGivenObjectivesOverrideLoggedOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	p := NewPeriod(map[string]Objective{"idempotent": {Answer: time.Millisecond}})
	logs := testObjectives + lineOf("edge-1", "01:00.9", "PY2720", "request=p route=r kind=idempotent took=10ms status=200 ended_by=answer")
	g.Expect(p.Read(strings.NewReader(logs), "f")).To(gomega.Succeed())
	g.Expect(p.Summary(View{}).Kinds[0].Late).To(gomega.Equal(1))
}

func TestParseObjective(t *testing.T) {
	g := gomega.NewWithT(t)
	kind, o, err := ParseObjective("stream:4.5s/700ms")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(kind).To(gomega.Equal("stream"))
	g.Expect(o).To(gomega.Equal(Objective{4500 * time.Millisecond, 700 * time.Millisecond}))
	for _, word := range []string{"", "stream", "stream:4", "stream:4s/x"} {
		_, _, err := ParseObjective(word)
		g.Expect(err).To(gomega.HaveOccurred(), word)
	}
}

// The rules match error texts of package exchange.
func TestErrorTextsThatRulesMatch(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(new(exchange.LateError).Error()).To(gomega.ContainSubstring(textLate))
	g.Expect(new(exchange.OverloadError).Error()).To(gomega.ContainSubstring(textOverload))
	g.Expect((&exchange.SilentError{Alive: true}).Error()).To(gomega.ContainSubstring(textSilent))
	g.Expect((&exchange.NotRunError{Reason: exchange.Busy}).Error()).To(gomega.ContainSubstring(textBusy))
}

func FuzzPeriod(f *testing.F) {
	f.Add(logs)
	f.Add(testObjectives + lineOf("edge-1", "01:00.9", "PY2720", "request=p route=r kind=idempotent took=10ms status=200 ended_by=answer"))
	f.Fuzz(func(t *testing.T, text string) {
		p := NewPeriod(nil)
		if err := p.Read(strings.NewReader(text), "f"); err != nil {
			t.Fatal(err)
		}
		p.Summary(View{Worst: 3})
	})
}
