package bwowner

// PoolStatus is an owner's view of its pool, for a state dump.
type PoolStatus struct {
	Pool             string           `json:"pool"`
	Fence            int64            `json:"fence"`
	IsReady          bool             `json:"isReady"`
	IsStoreFailing   bool             `json:"isStoreFailing"`
	Jobs             int              `json:"jobs"`
	ActiveJobs       int              `json:"activeJobs"`
	UnstoredRecords  int              `json:"unstoredRecords"`
	AwaitedExecutors int              `json:"awaitedExecutors"`
	Executors        []ExecutorStatus `json:"executors"`
}

// ExecutorStatus is an owner's view of one executor.
type ExecutorStatus struct {
	ID              string `json:"id"`
	Incarnation     int64  `json:"incarnation"`
	Registered      bool   `json:"isRegistered"`
	Draining        bool   `json:"isDraining"`
	Cordoned        bool   `json:"isCordoned"`
	Suspect         bool   `json:"isSuspect"`
	Runs            int    `json:"runs"`
	FreeCPUMillis   int64  `json:"freeCPUMillis"`
	FreeMemoryMB    int64  `json:"freeMemoryMB"`
	ReportAgeMillis int64  `json:"reportAgeMillis"`
	SeenEnd         int64  `json:"seenEnd"`
	AckedEnd        int64  `json:"ackedEnd"`
}

// Dump returns the owner's current view of the pool.
func (o *Owner) Dump() PoolStatus {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.deps.Clock.Now()
	s := PoolStatus{
		Pool:             o.ownership.Pool,
		Fence:            o.ownership.Fence,
		IsReady:          o.isReady,
		UnstoredRecords:  len(o.unstoredWrites),
		AwaitedExecutors: o.scheduler.CountAwaitedExecutors(),
	}
	s.Jobs, s.ActiveJobs = o.scheduler.CountJobs()
	if o.committer != nil {
		s.IsStoreFailing = o.committer.IsFailing(now)
	}
	for _, id := range o.scheduler.ExecutorIDs() {
		e := o.scheduler.Executor(id)
		r := e.Registration()
		s.Executors = append(s.Executors, ExecutorStatus{
			ID:              id,
			Incarnation:     e.Incarnation(),
			Registered:      e.IsRegistered(),
			Draining:        r.IsDraining,
			Cordoned:        e.IsCordoned(now),
			Suspect:         e.IsSuspect(now),
			Runs:            len(e.Runs()),
			FreeCPUMillis:   e.Free().CPU,
			FreeMemoryMB:    e.Free().MemoryMB,
			ReportAgeMillis: now.Sub(e.ReportedAt()).Milliseconds(),
			SeenEnd:         e.LastSeenEnd(),
			AckedEnd:        e.LastAckedEnd(),
		})
	}
	return s
}
