package bwroute_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwcodec"
	"basilwood.example/basilwood/bwconfig"
	"basilwood.example/basilwood/bwmember"
	"basilwood.example/basilwood/bwpeer"
	"basilwood.example/basilwood/bwpool"
	"basilwood.example/basilwood/bwroster"
	"basilwood.example/basilwood/bwroute"
	"basilwood.example/basilwood/bwstore"
	"google.golang.org/protobuf/proto"
)

const benchPools = 70

func newStoreEntry(b *testing.B, key string, m proto.Message) bwstore.Entry {
	value, err := bwcodec.Marshal(m)
	if err != nil {
		b.Fatal(err)
	}
	return bwstore.NewEntry(key, value, 1)
}

// newSnapshot returns a configuration snapshot with n hosts in 70 pools.
func newSnapshot(b *testing.B, n int) *bwconfig.Snapshot {
	var entries []bwstore.Entry
	for i := range benchPools {
		name := fmt.Sprintf("pool-%02d", i)
		entries = append(entries, newStoreEntry(b, bwconfig.PoolKey(name), &bwpool.Pool{Name: name, Service: name}))
	}
	shards := make(map[string]*bwroster.Shard)
	for i := range n {
		name := fmt.Sprintf("host-%05d", i)
		key := bwconfig.RosterKey(name)
		if shards[key] == nil {
			shards[key] = new(bwroster.Shard)
		}
		shards[key].Hosts = append(shards[key].Hosts, &bwroster.Host{Name: name, Pool: fmt.Sprintf("pool-%02d", i%benchPools), Slots: 8})
	}
	for key, shard := range shards {
		entries = append(entries, newStoreEntry(b, key, shard))
	}
	r := new(bwconfig.Replica)
	r.ApplyListing(entries, 1)
	return r.Snapshot()
}

// newLiveMembers returns n live entries, each of which reports a load for every service.
func newLiveMembers(n int) []bwmember.Member {
	view := bwmember.NewView(newHeartbeat(0))
	for i := 1; i < n; i++ {
		view.RecordHeartbeat(newHeartbeat(i), 1)
	}
	return view.Live(bwclock.Time(1))
}

func newHeartbeat(i int) *bwpeer.Beat {
	heartbeat := &bwpeer.Beat{Id: fmt.Sprintf("entry-%d", i), Incarnation: fmt.Sprintf("entry-%d-0c2wfor4o-dda1", i), Address: "10.100.100.100:7200"}
	for s := range benchPools {
		heartbeat.Loads = append(heartbeat.Loads, &bwpeer.ServiceLoad{
			Service: fmt.Sprintf("pool-%02d", s), Slots: 200, Busy: 100, Queued: 7,
			Profiles: []*bwpeer.ProfileLoad{{Profile: "profile-1", WaitMillis: 12}, {Profile: "profile-2", WaitMillis: 12}},
		})
	}
	return heartbeat
}

// BenchmarkBuild measures computing the table for different numbers of hosts.
func BenchmarkBuild(b *testing.B) {
	for _, hosts := range []int{1000, 6000, 18000} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			snapshot, live := newSnapshot(b, hosts), newLiveMembers(9)
			b.ResetTimer()
			for range b.N {
				bwroute.Build(snapshot, live, func(string) bool { return false })
			}
		})
	}
}

// BenchmarkChoose measures choosing a home for one request.
func BenchmarkChoose(b *testing.B) {
	for _, entries := range []int{3, 9, 27} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			t := bwroute.Build(newSnapshot(b, 6000), newLiveMembers(entries), func(string) bool { return false })
			q := bwroute.Query{Service: "pool-07", Profile: "profile-1", Budget: time.Second}
			rng := rand.New(rand.NewPCG(1, 1))
			b.ResetTimer()
			for range b.N {
				bwroute.Choose(t, bwroute.TwoChoices, q, rng)
			}
		})
	}
}

// BenchmarkBeat measures the encoded size of a heartbeat and the time to encode and decode
// it.
func BenchmarkBeat(b *testing.B) {
	for _, services := range []int{5, 20, 70} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			heartbeat := newHeartbeat(1)
			heartbeat.Loads = heartbeat.Loads[:services]
			b.ResetTimer()
			for range b.N {
				data, err := proto.Marshal(heartbeat)
				if err != nil {
					b.Fatal(err)
				}
				if err := proto.Unmarshal(data, new(bwpeer.Beat)); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(proto.Size(heartbeat)), "bytes-beat")
		})
	}
}
