package text_test

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"runtime"
	"testing"

	"github.com/pearyard/pearyard/text"
)

// Target sizes: organisations and models in steady use.
const (
	targetOrganisations = 48_000
	targetModels        = 20
)

func demoKey(i int) string { return fmt.Sprintf("key-of-organisation-%d", i) }

// bigConfig returns a configuration with 20 models, 400 backend servers and n organisations.
func bigConfig(n int) []byte {
	var b bytes.Buffer
	b.WriteString(`{"services":[`)
	for i := range targetModels {
		writeComma(&b, i)
		fmt.Fprintf(&b, `{"name":"service-%d","kind":"model","dependsOn":[{"model":"model-%d","version":"1"}],"backendServers":[`, i, i)
		for j := range 20 {
			writeComma(&b, j)
			fmt.Fprintf(&b, `{"name":"server-%d-%d","zone":"zone-%d","sidecar":"10.1.%d.%d:7100","capacity":16}`, i, j, j%4, i, j+1)
		}
		b.WriteString(`]}`)
	}
	b.WriteString(`],"models":[`)
	for i := range targetModels {
		writeComma(&b, i)
		fmt.Fprintf(&b, `{"name":"model-%d","version":"1"}`, i)
	}
	b.WriteString(`],"organisations":[`)
	for i := range n {
		writeComma(&b, i)
		fmt.Fprintf(&b, "\n"+`{"name":"organisation-%d","keySHA256":["%x"],"weight":1,"limits":{"requestsPerSecond":2,"burst":4,"concurrent":4,"queued":8},"priority":0}`,
			i, sha256.Sum256([]byte(demoKey(i))))
	}
	b.WriteString(`]}`)
	return b.Bytes()
}

func writeComma(b *bytes.Buffer, i int) {
	if i > 0 {
		b.WriteByte(',')
	}
}

func BenchmarkParse48000(b *testing.B) {
	raw := bigConfig(targetOrganisations)
	b.SetBytes(int64(len(raw)))
	b.ReportAllocs()
	for b.Loop() {
		if parsed, list := text.Parse(raw); parsed == nil {
			b.Fatal(list)
		}
	}
}

// BenchmarkLoad48000 also reports the heap size of one loaded configuration.
func BenchmarkLoad48000(b *testing.B) {
	raw := bigConfig(targetOrganisations)
	b.SetBytes(int64(len(raw)))
	b.ReportAllocs()
	before := heapBytes()
	var loaded *text.Config
	for b.Loop() {
		loaded, _ = text.Load(raw)
	}
	b.ReportMetric(float64(heapBytes()-before)/(1<<20), "MB-held")
	runtime.KeepAlive(loaded)
	runtime.KeepAlive(raw)
}

func BenchmarkOrganisationByKey48000(b *testing.B) {
	loaded, err := text.Load(bigConfig(targetOrganisations))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		i := 0
		for pb.Next() {
			i = (i + 7919) % targetOrganisations // a prime step reaches all keys, out of order
			if _, ok := loaded.OrganisationByKey(demoKey(i)); !ok {
				b.Fatalf("no organisation for key %q", demoKey(i))
			}
		}
	})
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
