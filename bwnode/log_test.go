package bwnode_test

import (
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwnode"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// hasLogged reports whether a log line contains all of the texts.
func (c *cluster) hasLogged(texts ...string) bool {
	c.logMu.Lock()
	defer c.logMu.Unlock()
	for _, line := range strings.Split(c.logs.String(), "\n") {
		hasAll := true
		for _, text := range texts {
			hasAll = hasAll && strings.Contains(line, text)
		}
		if hasAll {
			return true
		}
	}
	return false
}

func TestReplacedOwnerLogsWhatItKnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 2, 2)
		defer c.close()
		time.Sleep(3 * time.Second)
		previous := c.ownerOf("desk")
		previous.store.isWatchBlocked.Store(true)
		c.network.Isolate(previous.host)
		time.Sleep(8 * time.Second)
		successor := c.ownerOf("desk")
		assert.Assert(t, successor != previous)
		assert.Assert(t, c.hasLogged(successor.host+": executor has reported for the first time", "executor=desk-0", "awaited=true", "awaitedExecutors="))
		assert.Assert(t, c.hasLogged(previous.host+": pool lost", "pool=desk"))
		assert.Assert(t, c.hasLogged(previous.host+": pool owner stopped", "pool=desk", "unsentStarts=0", "indeterminateStarts=0"))
	})
}

func TestChangedConfirmationOfOwnershipIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, 2)
		defer c.close()
		time.Sleep(3 * time.Second)
		assert.Assert(t, !c.hasLogged("confirmation of the ownership has changed"))
		c.nodes[0].store.isWatchBlocked.Store(true)
		time.Sleep(8 * time.Second)
		assert.Assert(t, c.hasLogged("confirmation of the ownership has changed", "pool=desk", "isConfirmed=false"))
		assert.Assert(t, !c.hasLogged("confirmation of the ownership has changed", "isConfirmed=true"))
	})
}

// pausingWriter delays the first line with a text.
type pausingWriter struct {
	io.Writer
	text  string
	pause time.Duration
	once  sync.Once
}

func (w *pausingWriter) Write(line []byte) (int, error) {
	if strings.Contains(string(line), w.text) {
		w.once.Do(func() { time.Sleep(w.pause) })
	}
	return w.Writer.Write(line)
}

// The test runs in real time, because a pause inside a pass stops the time of a synctest bubble.
func TestPausedSchedulingIsLogged(t *testing.T) {
	var started atomic.Pointer[cluster]
	c := newCluster(t, 1, 1, 2, func(d *bwnode.Deps) {
		w := &pausingWriter{Writer: logWriter{&started}, text: "start ordered", pause: 1200 * time.Millisecond}
		d.Log = hclog.New(&hclog.LoggerOptions{Output: w})
	})
	defer c.close()
	started.Store(c)
	assert.Assert(t, eventually(10*time.Second, func() bool { return c.nodes[0].ownsPool("desk") }))
	c.submitTwoStepJob()
	assert.Assert(t, eventually(10*time.Second, func() bool { return c.hasLogged("scheduling has paused", "pool=desk", "gap=") }))
}

// logWriter writes to a cluster once it is known. Its nodes get their logger before.
type logWriter struct{ started *atomic.Pointer[cluster] }

func (w logWriter) Write(line []byte) (int, error) {
	if c := w.started.Load(); c != nil {
		return c.Write(line)
	}
	return len(line), nil
}
