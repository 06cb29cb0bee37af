package fleet

import "testing"

func BenchmarkDelta(b *testing.B) {
	old, text := configText(100, -1), configText(100, 40)
	b.Run("make", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := makeDelta(old, text); err != nil {
				b.Fatal(err)
			}
		}
	})
	delta, _ := makeDelta(old, text)
	b.Run("apply", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := applyDelta(old, delta); err != nil {
				b.Fatal(err)
			}
		}
	})
}
