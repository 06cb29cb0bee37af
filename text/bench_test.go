package text_test

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"runtime"
	"testing"

	"github.com/pearyard/pearyard/text"
)

// Sizes of the target: organisations and models in steady use.
const (
	targetOrganisations = 48_000
	targetModels        = 20
)

func demoKey(i int) string { return fmt.Sprintf("key-of-organisation-%d", i) }

// bigText returns a text with 20 models, 400 backend servers and n organisations.
func bigText(n int) []byte {
	var b bytes.Buffer
	b.WriteString(`{"services":[`)
	for i := range targetModels {
		separate(&b, i)
		fmt.Fprintf(&b, `{"name":"service-%d","kind":"model","dependsOn":[{"model":"model-%d","version":"1"}],"backendServers":[`, i, i)
		for j := range 20 {
			separate(&b, j)
			fmt.Fprintf(&b, `{"name":"server-%d-%d","zone":"zone-%d","sidecar":"10.1.%d.%d:7100","capacity":16}`, i, j, j%4, i, j+1)
		}
		b.WriteString(`]}`)
	}
	b.WriteString(`],"models":[`)
	for i := range targetModels {
		separate(&b, i)
		fmt.Fprintf(&b, `{"name":"model-%d","version":"1"}`, i)
	}
	b.WriteString(`],"organisations":[`)
	for i := range n {
		separate(&b, i)
		fmt.Fprintf(&b, "\n"+`{"name":"organisation-%d","keySHA256":["%x"],"weight":1,"limits":{"requestsPerSecond":2,"burst":4,"concurrent":4,"queued":8},"priority":0}`,
			i, sha256.Sum256([]byte(demoKey(i))))
	}
	b.WriteString(`]}`)
	return b.Bytes()
}

func separate(b *bytes.Buffer, i int) {
	if i > 0 {
		b.WriteByte(',')
	}
}

func BenchmarkParse48000(b *testing.B) {
	raw := bigText(targetOrganisations)
	b.SetBytes(int64(len(raw)))
	b.ReportAllocs()
	for b.Loop() {
		if parsed, list := text.Parse(raw); parsed == nil {
			b.Fatal(list)
		}
	}
}

// BenchmarkLoad48000 also reports the heap that one loaded text holds.
func BenchmarkLoad48000(b *testing.B) {
	raw := bigText(targetOrganisations)
	b.SetBytes(int64(len(raw)))
	b.ReportAllocs()
	before := heap()
	var loaded *text.Text
	for b.Loop() {
		loaded, _ = text.Load(raw)
	}
	b.ReportMetric(float64(heap()-before)/(1<<20), "MB-held")
	runtime.KeepAlive(loaded)
	runtime.KeepAlive(raw)
}

func BenchmarkOrganisationByKey48000(b *testing.B) {
	loaded, err := text.Load(bigText(targetOrganisations))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		i := 0
		for pb.Next() {
			i = (i + 7919) % targetOrganisations
			if _, ok := loaded.OrganisationByKey(demoKey(i)); !ok {
				b.Fatal(i)
			}
		}
	})
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
