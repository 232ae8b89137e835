package bwnode_test

import (
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwkv"
	"basilwood.example/basilwood/bwnode"
	"gotest.tools/v3/assert"
)

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
