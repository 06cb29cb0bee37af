package explain

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"runtime"
	"strconv"
	"testing"
	"time"
)

// lineGenerator produces the lines of a day with many failures: nine in ten lines are
// ends of requests, and a tenth of those requests had a failed attempt.
type lineGenerator struct {
	left  int
	at    time.Time
	rand  *rand.Rand
	lines bytes.Buffer
}

// Read implements io.Reader.
func (g *lineGenerator) Read(p []byte) (int, error) {
	for g.lines.Len() < len(p) && g.left > 0 {
		g.writeLine()
		g.left--
	}
	n, _ := g.lines.Read(p)
	if n == 0 && g.left == 0 {
		return 0, io.EOF
	}
	return n, nil
}

func (g *lineGenerator) writeLine() {
	g.at = g.at.Add(40 * time.Microsecond) // 25,000 lines a second
	process, id, server := g.rand.IntN(400), g.rand.Uint64(), g.rand.IntN(1600)
	head := fmt.Sprintf("level=info ts=%s process=edge-%d", g.at.Format(time.RFC3339Nano), process)
	attemptFailed := g.rand.IntN(10) == 0
	if attemptFailed {
		fmt.Fprintf(&g.lines, "%s event=PY2724 name=exchange_again request=%016x route=r-%d after=i-%d err=\"exchange: broken: unexpected EOF\" since=100ms\n",
			head, id, server%17, server)
		g.left--
	}
	if g.rand.IntN(1000) == 0 {
		fmt.Fprintf(&g.lines, "%s event=PY2726 name=exchange_server_lost server=i-%d service=m zone=z-%d err=refused\n", head, server, server%21)
	}
	if server%4 == 0 {
		fmt.Fprintf(&g.lines, "%s event=PY2720 name=exchange_served request=%016x route=r-%d kind=stream service=m organisation=o-%d version=12 list=34 took=%dms first=%dms pause=%dms reached=140 ran=1 refused=0 resumed=0 server=i-%d last=null ended_by=answer\n",
			head, id, server%17, server, 5000+server, 3000+server, g.rand.IntN(720), server)
		return
	}
	fmt.Fprintf(&g.lines, "%s event=PY2720 name=exchange_served request=%016x route=p-%d kind=idempotent service=m organisation=o-%d version=12 list=34 took=%dms sent=1 pending=0 refused=0 server=i-%d last=null status=200 ended_by=answer\n",
		head, id, server%17, server, g.rand.IntN(320), server)
}

// BenchmarkPeriod reads PEARYARD_BENCH_LINES lines, by default 200,000. The target
// is ten million lines in one minute and under 1 GB: 10,009,213 lines took 20.4 s
// and 535 MB of system memory, including 128 MB of the generator, on one core of a
// busy machine. Reading all fields into a map per line, as Read does, would need
// all lines in memory.
func BenchmarkPeriod(b *testing.B) {
	lines := 200_000
	if n, err := strconv.Atoi(os.Getenv("PEARYARD_BENCH_LINES")); err == nil {
		lines = n
	}
	for b.Loop() {
		b.StopTimer()
		source := &lineGenerator{left: lines, at: time.Unix(1_790_000_000, 0).UTC(), rand: rand.New(rand.NewPCG(1, 2))}
		var text bytes.Buffer
		chunkBytes := int64(64 << 20)
		p := NewPeriod(map[string]Objective{"stream": {4500 * time.Millisecond, 700 * time.Millisecond}, "idempotent": {Answer: 300 * time.Millisecond}})
		for {
			text.Reset()
			_, err := io.CopyN(&text, source, chunkBytes)
			b.StartTimer()
			if readErr := p.Read(&text, "generated"); readErr != nil {
				b.Fatal(readErr)
			}
			b.StopTimer()
			if err != nil {
				break
			}
		}
		b.StartTimer()
		p.Summary(View{Worst: 3})
		b.StopTimer()
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		b.ReportMetric(float64(memory.Sys)/(1<<20), "MB_of_system")
		b.ReportMetric(float64(p.Lines), "lines")
		b.StartTimer()
	}
}
