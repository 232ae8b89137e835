package bwproof_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwconfig"
	"basilwood.example/basilwood/bwcontroller"
	"basilwood.example/basilwood/bwplatform"
	"basilwood.example/basilwood/bwroster"
	"basilwood.example/basilwood/bwstandin"
	"pgregory.net/rapid"
)

// The kinds of operations: administrative commands, faults and repairs.
const (
	opMove = iota
	opWave
	opPause
	opCancel
	opUpdateRace
	opKillController
	opRestartController
	opPartitionController
	opFreezeController
	opStoreFault
	opPlatformFault
	opHostDown
	opHostUp
	opKillEntry
	opHeal
	opWait
	opCount
)

var opNames = [...]string{
	"move", "wave", "pause", "cancel", "updateRace", "killController", "restartController", "partitionController",
	"freezeController", "storeFault", "platformFault", "hostDown", "hostUp", "killEntry", "heal", "wait",
}

type operation struct {
	kind  int
	a, b  int
	pause time.Duration
}

// String formats the operation for failure reports.
func (o operation) String() string {
	return fmt.Sprintf("%s(%d,%d)+%s", opNames[o.kind], o.a, o.b, o.pause)
}

func operations() *rapid.Generator[[]operation] {
	operationGenerator := rapid.Custom(func(t *rapid.T) operation {
		return operation{
			kind:  rapid.IntRange(0, opCount-1).Draw(t, "kind"),
			a:     rapid.IntRange(0, 7).Draw(t, "a"),
			b:     rapid.IntRange(0, 7).Draw(t, "b"),
			pause: time.Duration(rapid.SampledFrom([]int{0, 50, 200, 500, 1500}).Draw(t, "pause")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(operationGenerator, 5, 40)
}

// operationsSession executes operations against a fleet and records the accepted quota updates by
// revision.
type operationsSession struct {
	fleet *fleet
	group sync.WaitGroup
	// stateChanges holds, for each host, the times at which it went down and came back, in turn.
	stateChanges   map[string][]time.Time
	mu             sync.Mutex
	acceptedQuotas map[int64]float64
	lastQuota      int
}

// runOperations executes the operations under load, repairs all faults, waits until all moves and
// waves have ended and returns the first violated guarantee.
func runOperations(t *testing.T, list []operation) string {
	violation := ""
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 3)
		defer f.close()
		startLoad(f, 25*time.Millisecond, loadTimeout)
		o := &operationsSession{fleet: f, stateChanges: make(map[string][]time.Time), acceptedQuotas: make(map[int64]float64), lastQuota: 100}
		for _, op := range list {
			o.execute(op)
			time.Sleep(op.pause)
		}
		o.heal()
		o.group.Wait()
		violation = o.verify()
	})
	return violation
}

func (o *operationsSession) execute(op operation) {
	f := o.fleet
	host := hostNames()[op.a%8]
	pool := pools[op.a%2]
	switch op.kind {
	case opMove:
		body, _ := json.Marshal(bwcontroller.MoveRequest{ToPool: pools[op.b%2]})
		o.sendAsync(http.MethodPost, "/v1/hosts/"+host+"/move", body)
	case opWave:
		o.sendAsync(http.MethodPost, "/v1/pools/"+pool+"/maintenance/start", nil)
	case opPause:
		o.sendAsync(http.MethodPost, "/v1/pools/"+pool+"/maintenance/pause", nil)
		o.sendAsync(http.MethodPost, "/v1/pools/"+pool+"/maintenance/resume", nil)
	case opCancel:
		o.sendAsync(http.MethodPost, "/v1/pools/"+pool+"/maintenance/cancel", nil)
	case opUpdateRace:
		o.raceUpdates()
	case opStoreFault:
		f.store.Faults().Set(standinFaults[op.b%len(standinFaults)])
	case opPlatformFault:
		f.platform.Faults().Set(standinFaults[op.b%len(standinFaults)])
	case opHostDown, opHostUp:
		o.setDown(host, op.kind == opHostDown)
	case opHeal:
		o.heal()
	case opWait:
		time.Sleep(time.Duration(op.a) * time.Second)
	default:
		o.injectFault(op)
	}
}

// injectFault kills, partitions or freezes a controller or kills an entry. It also restarts
// controllers and entries that are down.
func (o *operationsSession) injectFault(op operation) {
	f := o.fleet
	c := f.controllers[op.a%len(f.controllers)]
	switch op.kind {
	case opKillController:
		if c.isRunning.Load() {
			f.kill(c)
		}
	case opRestartController:
		if !c.isRunning.Load() {
			f.startController(c.id)
		}
	case opPartitionController:
		f.net.SetPartitioned(c.ip, hostOf([]string{storeAddress, platformAddress}[op.b%2]), true)
	case opFreezeController:
		f.net.SetFrozen(c.ip, true)
		o.group.Go(func() {
			time.Sleep(time.Duration(1+op.b) * time.Second)
			f.net.SetFrozen(c.ip, false)
		})
	case opKillEntry:
		e := f.entries[op.a%len(f.entries)]
		if e.isRunning.Load() && len(f.readyEntries()) > 1 {
			f.kill(e)
		} else if !e.isRunning.Load() {
			f.startEntry(e.id)
		}
	}
}

// sendAsync sends a request to a controller and does not wait for the reply.
func (o *operationsSession) sendAsync(method, path string, body []byte) {
	o.group.Go(func() { o.fleet.adminRequest(method, path, body) })
}

// raceUpdates sends two concurrent updates of the team's quota, both conditional on the same
// revision.
func (o *operationsSession) raceUpdates() {
	status, reply := o.fleet.adminRequest(http.MethodGet, "/v1/teams/team", nil)
	var item bwcontroller.Item
	if status != http.StatusOK || json.Unmarshal(reply, &item) != nil {
		return
	}
	for range 2 {
		o.lastQuota++
		quota := float64(o.lastQuota)
		body, _ := json.Marshal(map[string]any{"name": "team", "quotaSlots": quota})
		o.group.Go(func() {
			path := fmt.Sprintf("/v1/teams/team?expectedRevision=%d", item.Revision)
			status, reply := o.fleet.adminRequest(http.MethodPut, path, body)
			var done bwcontroller.Item
			if status == http.StatusOK && json.Unmarshal(reply, &done) == nil {
				o.mu.Lock()
				defer o.mu.Unlock()
				o.acceptedQuotas[done.Revision] = quota
			}
		})
	}
}

func (o *operationsSession) setDown(host string, isDown bool) {
	times := o.stateChanges[host]
	if isDown == (len(times)%2 == 1) {
		return
	}
	o.stateChanges[host] = append(times, time.Now())
	state := bwplatform.HostLive
	if isDown {
		state = bwplatform.HostDown
	}
	o.fleet.platform.SetState(host, state)
}

func (o *operationsSession) heal() {
	f := o.fleet
	f.store.Faults().Set(bwstandin.Faults{})
	f.platform.Faults().Set(bwstandin.Faults{})
	f.net.HealPartitions()
	for _, host := range hostNames() {
		o.setDown(host, false)
	}
	for _, p := range f.controllers {
		if !p.isRunning.Load() {
			f.startController(p.id)
		}
	}
	for _, p := range f.entries {
		if !p.isRunning.Load() {
			f.startEntry(p.id)
		}
	}
	f.awaitReady()
}

// verify waits until all moves and waves have ended and returns the first violated guarantee.
func (o *operationsSession) verify() string {
	f := o.fleet
	if waiting := o.awaitIdle(2 * time.Minute); waiting != "" {
		return "moves or waves not finished after two minutes without faults: " + waiting
	}
	if violation := verifyHistory(f); violation != "" {
		return violation
	}
	if violation := o.verifyAcceptedQuotas(); violation != "" {
		return violation
	}
	for name, target := range f.targets {
		if target.Interrupted() > 0 && len(o.stateChanges[name]) == 0 {
			return fmt.Sprintf("host %s: %d requests were interrupted by a stop", name, target.Interrupted())
		}
	}
	return verifyLeavingHosts(f)
}

// awaitIdle waits until no permit is held and no wave is running or paused. It resumes paused waves.
// After limit it returns a description of the permits and waves that are left, else "".
func (o *operationsSession) awaitIdle(limit time.Duration) string {
	left := ""
	for started := time.Now(); time.Since(started) < limit; time.Sleep(500 * time.Millisecond) {
		left = ""
		for _, pool := range pools {
			status, reply := o.fleet.adminRequest(http.MethodGet, "/v1/pools/"+pool+"/maintenance", nil)
			var m bwcontroller.MaintenanceStatus
			if status != http.StatusOK || json.Unmarshal(reply, &m) != nil {
				left = "no maintenance status"
				continue
			}
			if m.State == "running" || m.State == "paused" || len(m.Permits) > 0 {
				left += fmt.Sprintf("%+v ", m)
			}
			if m.State == "paused" {
				o.fleet.adminRequest(http.MethodPost, "/v1/pools/"+pool+"/maintenance/resume", nil)
			}
		}
		if left == "" {
			return ""
		}
	}
	return left
}

// verifyAcceptedQuotas checks that the store's history holds each accepted update with its value,
// and that the entries apply the last revision of the team within 4 s.
func (o *operationsSession) verifyAcceptedQuotas() string {
	last, lastRevision := 100.0, int64(0)
	for _, change := range o.fleet.store.History() {
		if change.Message.Key != bwconfig.TeamKey("team") {
			continue
		}
		value, err := decodeValue(change.Message.Value)
		var team struct{ QuotaSlots float64 }
		if err != nil || json.Unmarshal(value, &team) != nil {
			return "the stored team cannot be decoded"
		}
		if quota, ok := o.acceptedQuotas[change.Message.Revision]; ok && quota != team.QuotaSlots {
			return fmt.Sprintf("revision %d was accepted with quota %v, but holds %v", change.Message.Revision, quota, team.QuotaSlots)
		}
		last, lastRevision = team.QuotaSlots, change.Message.Revision
	}
	for revision := range o.acceptedQuotas {
		if revision > lastRevision {
			return fmt.Sprintf("revision %d was accepted, but is not in the history (last quota is %v)", revision, last)
		}
	}
	if took := o.fleet.waitForRevision(lastRevision); took > 4*time.Second {
		return fmt.Sprintf("revision %d is not in force on every entry after %s", lastRevision, took)
	}
	return ""
}

// verifyLeavingHosts checks that no host started an execution later than 2 s after the store's
// roster marked it as leaving and before it was active again.
func verifyLeavingHosts(f *fleet) string {
	leavingSince := make(map[string]time.Time)
	for _, change := range f.store.History() {
		hosts, err := rosterHosts(change)
		if err != nil {
			return err.Error()
		}
		for _, h := range hosts {
			since, isLeaving := leavingSince[h.GetName()]
			switch {
			case h.GetState() != bwroster.State_active && !isLeaving:
				leavingSince[h.GetName()] = change.At
			case h.GetState() == bwroster.State_active && isLeaving:
				delete(leavingSince, h.GetName())
				if n := f.startsBetween(h.GetName(), since.Add(2*time.Second), change.At); n > 0 {
					return fmt.Sprintf("host %s was leaving since %s, but started %d requests later than 2 s after that", h.GetName(), since, n)
				}
			}
		}
	}
	return ""
}

func rosterHosts(change bwstandin.Change) ([]*bwroster.Host, error) {
	shard, err := shardOf(change)
	return shard.GetHosts(), err
}

// startsBetween returns the number of executions that a host started between two times.
func (f *fleet) startsBetween(host string, from, to time.Time) int {
	n := 0
	for _, e := range f.targets[host].Executions() {
		if e.StartedMillis > from.UnixMilli() && e.StartedMillis < to.UnixMilli() {
			n++
		}
	}
	return n
}

// TestHostRecoversDuringMaintenance guards against a permit that never ends. A host fails and is
// live again between its drain and its stop. The platform ignores a repeated drain under the same
// permit, so a permit that waits for the platform to report the host as leaving waits forever.
func TestHostRecoversDuringMaintenance(t *testing.T) {
	list := []operation{
		{kind: opWave, a: 7, pause: 1500 * time.Millisecond},
		{kind: opMove, a: 1, b: 7, pause: 1500 * time.Millisecond},
		{kind: opMove, a: 4, b: 4, pause: 50 * time.Millisecond},
		{kind: opFreezeController},
		{kind: opHostDown, a: 1, b: 4},
	}
	if violation := runOperations(t, list); violation != "" {
		t.Fatal(violation)
	}
}

func TestOperationsMachine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		list := operations().Draw(rt, "operations")
		if violation := runOperations(t, list); violation != "" {
			rt.Fatalf("%s", violation)
		}
	})
}
