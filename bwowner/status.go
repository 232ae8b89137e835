package bwowner

// PoolStatus is what an owner believes of its pool, for a state dump.
type PoolStatus struct {
	Pool       string           `json:"pool"`
	Fence      int64            `json:"fence"`
	IsReady    bool             `json:"isReady"`
	IsFailing  bool             `json:"isStoreFailing"`
	Jobs       int              `json:"jobs"`
	Active     int              `json:"activeJobs"`
	Unstored   int              `json:"unstoredRecords"`
	Unresolved int              `json:"awaitedExecutors"`
	Executors  []ExecutorStatus `json:"executors"`
}

// ExecutorStatus is what an owner believes of one executor.
type ExecutorStatus struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"incarnation"`
	Registered  bool   `json:"isRegistered"`
	Draining    bool   `json:"isDraining"`
	Cordoned    bool   `json:"isCordoned"`
	Suspect     bool   `json:"isSuspect"`
	Runs        int    `json:"runs"`
	FreeCPU     int64  `json:"freeCPUMillis"`
	FreeMB      int64  `json:"freeMemoryMB"`
	// ReportAge is how old the latest report is, in milliseconds.
	ReportAge int64 `json:"reportAgeMillis"`
	SeenEnd   int64 `json:"seenEnd"`
	AckedEnd  int64 `json:"ackedEnd"`
}

// Dump returns what the owner believes now.
func (o *Owner) Dump() PoolStatus {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.deps.Clock.Now()
	s := PoolStatus{
		Pool:       o.ownership.Pool,
		Fence:      o.ownership.Fence,
		IsReady:    o.isReady,
		Unstored:   len(o.unstored),
		Unresolved: o.scheduler.CountAwaitedExecutors(),
	}
	s.Jobs, s.Active = o.scheduler.CountJobs()
	if o.commits != nil {
		s.IsFailing = o.commits.IsFailing(now)
	}
	for _, id := range o.scheduler.ExecutorIDs() {
		e := o.scheduler.Executor(id)
		r := e.Registration()
		s.Executors = append(s.Executors, ExecutorStatus{
			ID:          id,
			Incarnation: e.Incarnation(),
			Registered:  e.IsRegistered(),
			Draining:    r.IsDraining,
			Cordoned:    e.IsCordoned(now),
			Suspect:     e.IsSuspect(now),
			Runs:        len(e.Runs()),
			FreeCPU:     e.Free().CPU,
			FreeMB:      e.Free().MemoryMB,
			ReportAge:   now.Sub(e.ReportedAt()).Milliseconds(),
			SeenEnd:     e.LastSeenEnd(),
			AckedEnd:    e.LastAckedEnd(),
		})
	}
	return s
}
