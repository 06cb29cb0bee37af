package fleet

import "testing"

func BenchmarkDelta(b *testing.B) {
	old, text := routesText(100, -1), routesText(100, 40)
	b.Run("make", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := deltaOf(old, text); err != nil {
				b.Fatal(err)
			}
		}
	})
	delta, _ := deltaOf(old, text)
	b.Run("apply", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := applyDelta(old, delta); err != nil {
				b.Fatal(err)
			}
		}
	})
}
