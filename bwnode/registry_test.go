package bwnode_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwkv"
	"basilwood.example/basilwood/bwnode"
	"basilwood.example/basilwood/bwowner"
	"gotest.tools/v3/assert"
)

// oddEntries returns registry entries that another writer might leave, by key.
func oddEntries() map[string]string {
	entry := func(address, cpu, more string) string {
		return fmt.Sprintf(`{"service":"desk","addr":%q,"zone":"a","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"seq":1,"born":1,
			"labels":["kind","r0"],"capacity":{"cpu":%s,"mem_mb":32000,"gpu":0}%s}`, address, cpu, more)
	}
	nested := func(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }
	return map[string]string{
		"odd-nested":       nested(400_000),
		"odd-nested-field": entry("10.9.1.1:80", "8000", `,"more":`+nested(400_000)),
		"odd-huge":         entry("10.9.1.2:80", "1e400", ""),
		"odd-overflow":     entry("10.9.1.3:80", "9223372036854775807", ""),
		"odd-digits":       entry("10.9.1.4:80", strings.Repeat("9", 500_000), ""),
		"odd-negative":     entry("10.9.1.5:80", "-8000", ""),
		"odd-port":         entry("10.9.1.6:99999", "8000", ""),
		"odd-no-port":      entry("10.9.1.7", "8000", ""),
		"odd-path":         entry("10.9.1.8:80/basilwood/kv-txn?", "8000", ""),
		"odd id":           entry("10.9.1.9:80", "8000", ""),
		"odd-bytes":        "\xff\xfe\x00",
		"odd-empty":        "",
	}
}

// callRecorder records the executors that a node calls.
type callRecorder struct {
	bwowner.Executors
	mu     sync.Mutex
	called map[string]bool
}

func (r *callRecorder) RenewLease(ctx context.Context, target bwowner.Target, renewal bwowner.LeaseRenewal) bwowner.ExecutorReply {
	r.mu.Lock()
	r.called[target.ID] = true
	r.mu.Unlock()
	return r.Executors.RenewLease(ctx, target, renewal)
}

// Guards against nodes that end, call an invalid address or stop following the registry because of one odd entry.
func TestOddExecutorEntriesAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recorder := &callRecorder{called: make(map[string]bool)}
		c := newCluster(t, 1, 1, 1, func(d *bwnode.Deps) {
			recorder.Executors = d.Executors
			d.Executors = recorder
		})
		defer c.close()
		time.Sleep(2 * time.Second)
		for id, value := range oddEntries() {
			c.kv.Put(prefixRegistry+id, []byte(value))
		}
		time.Sleep(2 * time.Second)
		c.register(bwexecutor.Registration{ID: "desk-later", Pool: "desk", Address: "10.9.0.9:80", Incarnation: 1, Rack: "r9",
			Labels: []string{"later"}, Capacity: bwjob.Resources{CPU: 16000, MemoryMB: 32000}})
		// Only the executor that joined last has room for the job.
		spec := &bwjob.Spec{ID: "job", Queue: "q-desk", Steps: []bwjob.Step{{Count: 1, Need: bwjob.Resources{CPU: 16000}, Estimate: 100 * time.Millisecond}}}
		c.executors.RegisterJob(spec)
		assert.Equal(t, c.submit(c.queues[0], spec), bwowner.OK)
		time.Sleep(3 * time.Second)
		assert.Equal(t, c.state(c.queues[0], "job").State, bwowner.Done)
		recorder.mu.Lock()
		defer recorder.mu.Unlock()
		c.logMu.Lock()
		defer c.logMu.Unlock()
		logs := c.logs.String()
		for id := range oddEntries() {
			assert.Check(t, !recorder.called[id], "%q was called", id)
			assert.Check(t, strings.Contains(logs, fmt.Sprintf("registration of an executor ignored: node=10.0.0.1 key=%s", quoteIfNeeded(prefixRegistry+id))), "%q left no log line", id)
		}
		for _, line := range strings.Split(logs, "\n") {
			assert.Check(t, len(line) < 1000, "log line of %d bytes: %.100s", len(line), line)
		}
	})
}

// quoteIfNeeded formats a string as the text logger does.
func quoteIfNeeded(s string) string {
	if strings.ContainsAny(s, " \n") {
		return fmt.Sprintf("%q", s)
	}
	return s
}

// Guards against decoding the whole registry again at each heartbeat of one executor.
func TestHeartbeatDecodesOnlyItsOwnEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const executors, heartbeats = 20, 10
		decoded := 0
		c := newCluster(t, 1, 1, executors, func(d *bwnode.Deps) {
			decode := d.Registry.DecodeExecutor
			d.Registry.DecodeExecutor = func(item bwkv.Item) (bwexecutor.Registration, error) {
				decoded++
				return decode(item)
			}
		})
		defer c.close()
		time.Sleep(3 * time.Second)
		assert.Equal(t, decoded, 2*executors)
		for range heartbeats {
			c.register(c.executors.Registrations()[0])
			time.Sleep(500 * time.Millisecond)
		}
		assert.Equal(t, decoded, 2*executors+heartbeats)
	})
}

// Guards against pools that stay without an owner because another writer left odd entries among those of the nodes.
func TestOddNodeEntriesDoNotKeepPoolsFromAnOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 0, 1)
		defer c.close()
		for id, value := range map[string]string{
			"nested":   strings.Repeat("[", 400_000) + strings.Repeat("]", 400_000),
			"huge":     `{"name":"x","incarnation":"x","address":"10.0.9.1:70","power":1e400}`,
			"powerful": `{"name":"a","incarnation":"a","address":"10.0.9.2:70","power":1e300}`,
			"port":     `{"name":"b","incarnation":"b","address":"10.0.9.3:99999","power":64}`,
			"bytes":    "\xff\xfe\x00",
		} {
			c.kv.Put("nodes/members/"+id, []byte(value))
		}
		c.start()
		time.Sleep(5 * time.Second)
		spec := &bwjob.Spec{ID: "job", Queue: "q-desk", Steps: []bwjob.Step{{Count: 1, Need: bwjob.Resources{CPU: 500}, Estimate: 100 * time.Millisecond}}}
		c.executors.RegisterJob(spec)
		assert.Equal(t, c.submit(c.queues[0], spec), bwowner.OK)
		time.Sleep(2 * time.Second)
		assert.Equal(t, c.state(c.queues[0], "job").State, bwowner.Done)
		c.logMu.Lock()
		defer c.logMu.Unlock()
		for _, line := range strings.Split(c.logs.String(), "\n") {
			assert.Check(t, len(line) < 1000, "log line of %d bytes: %.100s", len(line), line)
		}
	})
}
