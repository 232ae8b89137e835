package bwpool_test

import (
	"fmt"
	"testing"

	"basilwood.example/basilwood/bwcodec"
	"basilwood.example/basilwood/bwpool"
)

// BenchmarkNextWaveHost measures the cost of selecting the next host of a wave, and the
// size of the stored value of the pool at the end of the wave.
func BenchmarkNextWaveHost(b *testing.B) {
	for _, hosts := range []int{50, 260, 1000} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			p := &bwpool.Pool{Name: "pool", Service: "pool", MaxUnavailable: 20, Wave: &bwpool.Wave{State: bwpool.WaveState_running}}
			var views []bwpool.HostView
			for i := range hosts {
				name := fmt.Sprintf("host-%05d", i)
				views = append(views, bwpool.NewHostView(name, fmt.Sprintf("rack-%d", i/4), fmt.Sprintf("dc-%d", i%11), false))
				if i > 0 {
					p.Wave.Done = append(p.Wave.Done, name)
				}
			}
			b.ResetTimer()
			for range b.N {
				bwpool.NextWaveHost(p, views)
			}
			value, err := bwcodec.Marshal(p)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(value)), "bytes-value")
		})
	}
}
