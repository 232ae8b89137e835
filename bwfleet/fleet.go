// Package bwfleet defines the data model of a fleet: the queues of jobs, pools of hosts and
// maintenance waves that operators configure, and the hosts that the platform lists.
//
// Package platform decodes these values; the rest of the program only reads them.
package bwfleet

import (
	"sort"
	"strings"
	"time"
)

// Queue is a queue to which callers submit jobs.
type Queue struct {
	Name string
	// Host and Prefix are the host name and the path prefix of requests for the queue.
	Host   string
	Prefix string
	// Pool is the name of the pool whose hosts run the queue's tasks.
	Pool string
	// Priority is the priority of the queue; 0 is the highest.
	Priority int
	// MaxAttempts is the number of failed runs of a task after which its job fails.
	MaxAttempts int
	// Stretch and ObjectiveOffset determine a job's latency objective: the duration of its
	// longest chain of steps times Stretch, plus ObjectiveOffset.
	Stretch         float64
	ObjectiveOffset time.Duration
	// NeedsAdvice is set if only the policy service knows which executors may run a step.
	NeedsAdvice bool
	Advice      AdviceTimes
}

// AdviceTimes tells how long the policy service takes for a queue, and how long its tickets are valid. The zero value
// stands for times that are not known.
type AdviceTimes struct {
	// Decision is the duration of a request without the executors that it names, and PerExecutor that of each.
	Decision    time.Duration
	PerExecutor time.Duration
	// TicketLifetime is how long the tickets of a reply are valid.
	TicketLifetime time.Duration
}

// Pool is a set of hosts that run the tasks of some queues.
type Pool struct {
	Name string
	// IsStandby marks a pool of hosts that are switched off and run no tasks.
	IsStandby bool
}

// Configuration is one version of the operators' configuration. It is immutable.
type Configuration struct {
	version      int64
	queues       []Queue
	byHost       map[string][]Queue
	pools        []Pool
	maxBodyBytes int64
}

// NewConfiguration returns a version of the configuration. It keeps the given slices.
func NewConfiguration(version int64, queues []Queue, pools []Pool, maxBodyBytes int64) *Configuration {
	c := &Configuration{version: version, queues: queues, pools: pools, maxBodyBytes: maxBodyBytes, byHost: make(map[string][]Queue)}
	for _, q := range queues {
		c.byHost[q.Host] = append(c.byHost[q.Host], q)
	}
	for _, list := range c.byHost {
		sort.SliceStable(list, func(a, b int) bool { return len(list[a].Prefix) > len(list[b].Prefix) })
	}
	return c
}

// Version returns the version number, which increases with each change.
func (c *Configuration) Version() int64 { return c.version }

// Queues returns all queues.
func (c *Configuration) Queues() []Queue { return c.queues }

// Pools returns all pools.
func (c *Configuration) Pools() []Pool { return c.pools }

// MaxBodyBytes returns the maximum size of the body of a caller's request.
func (c *Configuration) MaxBodyBytes() int64 { return c.maxBodyBytes }

// Route returns the queue of a request, selected by the longest matching prefix, and the rest
// of the request's path. It reports whether a queue matches.
func (c *Configuration) Route(host, path string) (Queue, string, bool) {
	for _, q := range c.byHost[host] {
		if rest, ok := strings.CutPrefix(path, q.Prefix); ok {
			return q, rest, true
		}
	}
	return Queue{}, "", false
}

// PoolsWithQueues returns the sorted names of the pools that run the tasks of at least one
// queue.
func (c *Configuration) PoolsWithQueues() []string {
	seen := make(map[string]bool)
	var names []string
	for _, q := range c.queues {
		if !seen[q.Pool] {
			seen[q.Pool] = true
			names = append(names, q.Pool)
		}
	}
	sort.Strings(names)
	return names
}

// Wave is an operator's request for maintenance of a set of hosts.
type Wave struct {
	Number int64
	Hosts  []string
	// TimeLimit is the time within which the wave must be completed.
	TimeLimit time.Duration
	// MaxUnavailable is the maximum number of the wave's hosts in maintenance at the same
	// time.
	MaxUnavailable int
}

// HostState is the current state of a host.
type HostState int

// The states of a host.
const (
	HostUnknown HostState = iota
	HostUp
	HostMoving
	HostInMaintenance
	HostDown
)

// String returns the state in camel case.
func (s HostState) String() string {
	return [...]string{"unknown", "up", "moving", "inMaintenance", "down"}[s]
}

// Host is one host as the platform lists it.
type Host struct {
	ID    string
	Pool  string
	State HostState
	// Executor is the ID of the executor that runs on the host.
	Executor string
}
