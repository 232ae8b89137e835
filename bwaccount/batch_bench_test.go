package bwaccount_test

import (
	"fmt"
	"testing"

	"basilwood.example/basilwood/bwaccount"
	"basilwood.example/basilwood/bwcodec"
)

// BenchmarkBatch measures the time and the encoded size of packing a batch of accounts.
func BenchmarkBatch(b *testing.B) {
	for _, accounts := range []int{100, 500, 1500} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			batch := new(bwaccount.Batch)
			for i := range accounts {
				a := &bwaccount.Account{
					RequestId: fmt.Sprintf("entry-1-0c2wfor4o-dda1-%x", i), Caller: "curator-17", Profile: "curator-checks",
					Service: "drawer", ReceivedMillis: 1_700_000_000_000, Final: true, Status: 200, Receiver: true,
				}
				for k := range 5 {
					a.Events = append(a.Events, &bwaccount.Event{
						Kind: bwaccount.EventKind(k), AtMillis: 1_700_000_000_000, Entry: "entry-1-0c2wfor4o-dda1", Host: "drawer-17",
					})
				}
				batch.Accounts = append(batch.Accounts, a)
			}
			bytes := 0
			b.ResetTimer()
			for range b.N {
				value, err := bwcodec.MarshalBinary(batch)
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(value)
			}
			b.ReportMetric(float64(bytes)/float64(accounts), "bytes-account")
		})
	}
}
