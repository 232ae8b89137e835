package bwowner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwkv"
	"basilwood.example/basilwood/bwowner"
	"basilwood.example/basilwood/bwschedule"
	"basilwood.example/basilwood/bwstandin"
	"gotest.tools/v3/assert"
)

// Guards against a replaced owner that lets another pool accept a job which its successor may have accepted.
func TestReplacedOwnerYieldsNoJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := bwstandin.NewKV(1)
		x := &scriptedExecutors{onOrder: func(context.Context, bwschedule.Order) bwschedule.Result { return bwschedule.Accepted }}
		o := newOwnerOf(t, kv, x, 1)
		time.Sleep(3 * time.Second)
		r := kv.Transact(t.Context(), bwkv.Transaction{Set: []bwkv.Write{{Key: ownerKey, Value: []byte("{}")}}})
		assert.Equal(t, r.Outcome, bwkv.Committed)
		reply := o.Yield(queue, "job", "other")
		assert.Assert(t, reply.Verdict != bwowner.Absent, "%v", reply)
	})
}
