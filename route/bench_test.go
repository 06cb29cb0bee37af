package route

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func BenchmarkPick(b *testing.B) {
	for _, size := range []int{36, 64, 1600} {
		for _, name := range Names() {
			b.Run(fmt.Sprintf("%s/of%d", name, size), func(b *testing.B) {
				v := NewView(nil, Subset("router-1", members(1600, 21), size), testEpoch)
				loadAll(v, 6, 30*time.Millisecond, time.Now())
				p := mustPolicy(name, Options{})
				blocks := promptBlocks("x", 40)
				for range 4 {
					Learn(p, v.Candidates()[0], blocks)
				}
				b.ReportAllocs()
				b.RunParallel(func(pb *testing.PB) {
					q := &Query{Blocks: blocks, Zone: "zone-1"}
					for pb.Next() {
						c, _ := p.Pick(q, v)
						d := c.Begin(q)
						d.End()
					}
				})
			})
		}
	}
}

func BenchmarkPickSerial(b *testing.B) {
	for _, size := range []int{64, 1600} {
		for _, known := range []bool{true, false} {
			b.Run(fmt.Sprintf("of%d/known=%v", size, known), func(b *testing.B) {
				v := NewView(nil, Subset("router-1", members(1600, 21), size), testEpoch)
				loadAll(v, 6, 30*time.Millisecond, time.Now())
				p := mustPolicy(PrefixAffinity, Options{})
				q := &Query{Blocks: promptBlocks("x", 40), Zone: "zone-1"}
				for range 4 {
					if known {
						Learn(p, v.Candidates()[0], q.Blocks)
					}
				}
				b.ReportAllocs()
				for b.Loop() {
					_, _ = p.Pick(q, v)
				}
			})
		}
	}
}

func BenchmarkLearn(b *testing.B) {
	v := NewView(nil, members(64, 4), testEpoch)
	p := mustPolicy(PrefixAffinity, Options{})
	blocks := promptBlocks("x", 40)
	b.ReportAllocs()
	for b.Loop() {
		Learn(p, v.Candidates()[3], blocks)
	}
}

func BenchmarkBlocks(b *testing.B) {
	prompt := strings.Repeat("planting schedule ", 32_768/18)
	dst := make([]uint64, 0, MaxBlocks)
	b.SetBytes(int64(len(prompt)))
	b.ReportAllocs()
	for b.Loop() {
		dst = Blocks(dst[:0], prompt)
	}
}
