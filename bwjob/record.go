package bwjob

import (
	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwfleet"
	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"
)

// Encode returns the job as an encoded Record for the store.
func (j *Job) Encode() ([]byte, error) {
	r := &Record{
		Id:             j.spec.ID,
		Queue:          j.spec.Queue,
		Payload:        j.spec.Payload,
		Times:          int64(j.spec.ScheduledOccurrences),
		FirstMillis:    j.spec.FirstAt.Millis(),
		IntervalMillis: j.spec.Interval.Milliseconds(),
		AcceptedMillis: j.acceptedAt.Millis(),
		Phase:          j.phase,
		Started:        proto.Bool(j.hasStarted),
		AcceptedBy:     toQueueRecord(j.spec.AcceptedBy),
	}
	for _, s := range j.spec.Steps {
		r.Steps = append(r.Steps, s.toRecord())
	}
	for k := range j.finishedOccurrences {
		r.FinishedOccurrences = append(r.FinishedOccurrences, int64(k))
	}
	for _, o := range j.occurrences {
		if record := o.toRecord(); len(record.Tasks) > 0 {
			r.Occurrences = append(r.Occurrences, record)
		}
	}
	data, err := proto.Marshal(r)
	return data, oops.In("bwjob").With("job", j.spec.ID).Wrapf(err, "encode job")
}

// Decode returns the job of an encoded Record. No task is assigned to an executor: which
// tasks run is learned from the executors' reports.
func Decode(data []byte) (*Job, error) {
	var r Record
	if err := proto.Unmarshal(data, &r); err != nil {
		return nil, oops.In("bwjob").Wrapf(err, "decode job")
	}
	spec := &Spec{
		ID:                   r.GetId(),
		Queue:                r.GetQueue(),
		Payload:              r.GetPayload(),
		ScheduledOccurrences: int(r.GetTimes()),
		FirstAt:              bwclock.Time(r.GetFirstMillis()),
		Interval:             bwclock.Milliseconds(r.GetIntervalMillis()),
		AcceptedBy:           r.GetAcceptedBy().toQueue(),
	}
	for _, s := range r.GetSteps() {
		spec.Steps = append(spec.Steps, s.toStep())
	}
	j := New(spec, bwclock.Time(r.GetAcceptedMillis()))
	if r.GetPhase() != Phase_active {
		j.end(r.GetPhase())
		return j, nil
	}
	if err := spec.validateParts(); err != nil {
		return nil, oops.In("bwjob").Wrapf(err, "stored job %q", spec.ID)
	}
	for _, k := range r.GetFinishedOccurrences() {
		j.finishedOccurrences[int(k)] = true
	}
	for _, o := range r.GetOccurrences() {
		j.restoreOccurrence(o)
	}
	if r.Started != nil {
		j.hasStarted = r.GetStarted()
	}
	return j, nil
}

func (j *Job) restoreOccurrence(r *OccurrenceRecord) {
	o := newOccurrence(j.spec, int(r.GetIndex()))
	j.occurrences[o.index] = o
	for _, tr := range r.GetTasks() {
		t := j.Task(TaskID{Occurrence: o.index, Step: int(tr.GetStep()), Index: int(tr.GetIndex())})
		if t == nil {
			continue
		}
		t.failedRuns = tr.GetFailedRuns()
		t.highestEndedRun = int(tr.GetEndedRun())
		t.crashedRuns = tr.GetCrashedRuns()
		t.earlyCrashes = int(tr.GetEarlyCrashes())
		t.aloneCrashes = int(tr.GetAloneCrashes())
		t.probation = tr.GetProbation().toProbation()
		t.run = max(t.highestEndedRun, t.probation.Run)
		for _, run := range t.crashedRuns {
			t.run = max(t.run, int(run))
		}
		t.checkpoint = tr.GetCheckpoint()
		// An earlier version stores only tasks of which a run has ended or was lost in a crash.
		j.hasStarted = true
		if step := j.spec.Steps[tr.GetStep()]; step.LongRunning && !step.Gang && t.isLikelyCause(Crash{}, step) {
			j.giveUp(TaskID{Occurrence: o.index, Step: int(tr.GetStep()), Index: int(tr.GetIndex())})
		}
		if !tr.GetDone() {
			continue
		}
		t.isDone = true
		s := &o.steps[tr.GetStep()]
		s.waitingTasks--
		s.unfinishedTasks--
		if s.unfinishedTasks == 0 {
			o.unfinishedSteps--
		}
	}
}

func (o *Occurrence) toRecord() *OccurrenceRecord {
	r := &OccurrenceRecord{Index: int64(o.index)}
	for i, s := range o.steps {
		for n := range s.tasks {
			t := &s.tasks[n]
			if t.highestEndedRun == 0 && len(t.failedRuns) == 0 && !t.isDone && !t.IsSuspect() {
				continue
			}
			r.Tasks = append(r.Tasks, &TaskRecord{
				Step:         int64(i),
				Index:        int64(n),
				Done:         t.isDone,
				FailedRuns:   t.failedRuns,
				EndedRun:     int64(t.highestEndedRun),
				Checkpoint:   t.checkpointToStore(),
				CrashedRuns:  t.crashedRuns,
				EarlyCrashes: int64(t.earlyCrashes),
				AloneCrashes: int64(t.aloneCrashes),
				Probation:    t.probation.toRecord(),
			})
		}
	}
	return r
}

// checkpointToStore returns the checkpoint to store, which is empty once the task is done.
func (t *Task) checkpointToStore() string {
	if t.isDone {
		return ""
	}
	return t.checkpoint
}

// toRecord returns nil if there is no run.
func (p Probation) toRecord() *ProbationRun {
	if p.Run == 0 {
		return nil
	}
	return &ProbationRun{Run: int64(p.Run), Executor: p.Executor, Incarnation: p.Incarnation, Alone: p.IsAlone}
}

func (r *ProbationRun) toProbation() Probation {
	return Probation{Run: int(r.GetRun()), Executor: r.GetExecutor(), Incarnation: r.GetIncarnation(), IsAlone: r.GetAlone()}
}

// toQueueRecord returns nil if the queue is not known.
func toQueueRecord(q bwfleet.Queue) *QueueRecord {
	if q == (bwfleet.Queue{}) {
		return nil
	}
	return &QueueRecord{
		Host:                  q.Host,
		Prefix:                q.Prefix,
		Priority:              int64(q.Priority),
		MaxAttempts:           int64(q.MaxAttempts),
		Stretch:               q.Stretch,
		ObjectiveOffsetMillis: q.ObjectiveOffset.Milliseconds(),
		NeedsAdvice:           q.NeedsAdvice,

		AdviceDecisionMillis:    q.Advice.Decision.Milliseconds(),
		AdvicePerExecutorMillis: q.Advice.PerExecutor.Milliseconds(),
		TicketLifetimeMillis:    q.Advice.TicketLifetime.Milliseconds(),
	}
}

func (r *QueueRecord) toQueue() bwfleet.Queue {
	return bwfleet.Queue{
		Host:            r.GetHost(),
		Prefix:          r.GetPrefix(),
		Priority:        int(r.GetPriority()),
		MaxAttempts:     int(r.GetMaxAttempts()),
		Stretch:         r.GetStretch(),
		ObjectiveOffset: bwclock.Milliseconds(r.GetObjectiveOffsetMillis()),
		NeedsAdvice:     r.GetNeedsAdvice(),
		Advice: bwfleet.AdviceTimes{
			Decision:       bwclock.Milliseconds(r.GetAdviceDecisionMillis()),
			PerExecutor:    bwclock.Milliseconds(r.GetAdvicePerExecutorMillis()),
			TicketLifetime: bwclock.Milliseconds(r.GetTicketLifetimeMillis()),
		},
	}
}

func (s Step) toRecord() *StepRecord {
	r := &StepRecord{
		Count:                  int64(s.Count),
		CpuMillis:              s.Need.CPU,
		MemoryMb:               s.Need.MemoryMB,
		Accelerators:           s.Need.Accelerators,
		EstimateMillis:         s.Estimate.Milliseconds(),
		Checkpointing:          s.Checkpointing,
		Gang:                   s.Gang,
		SameRack:               s.SameRack,
		Label:                  s.Label,
		DataRack:               s.DataRack,
		MaxPerExecutor:         int64(s.MaxPerExecutor),
		Speculative:            s.Speculative,
		LongRunning:            s.LongRunning,
		Image:                  s.Image,
		LatencyObjectiveMillis: s.LatencyObjective.Milliseconds(),
		Fills:                  s.BestEffort,
		DisruptionBudget:       int64(s.DisruptionBudget),
	}
	for _, dependency := range s.DependsOn {
		r.After = append(r.After, int64(dependency))
	}
	return r
}

func (r *StepRecord) toStep() Step {
	s := Step{
		Count:         int(r.GetCount()),
		Need:          Resources{CPU: r.GetCpuMillis(), MemoryMB: r.GetMemoryMb(), Accelerators: r.GetAccelerators()},
		Estimate:      bwclock.Milliseconds(r.GetEstimateMillis()),
		Checkpointing: r.GetCheckpointing(),
		Gang:          r.GetGang(),
		SameRack:      r.GetSameRack(),
		Label:         r.GetLabel(),
		DataRack:      r.GetDataRack(),
		// Earlier versions stored some numbers above 2^31 as negative ones.
		MaxPerExecutor:   max(0, int(r.GetMaxPerExecutor())),
		Speculative:      r.GetSpeculative(),
		LongRunning:      r.GetLongRunning(),
		Image:            r.GetImage(),
		LatencyObjective: bwclock.Milliseconds(r.GetLatencyObjectiveMillis()),
		BestEffort:       r.GetFills(),
		DisruptionBudget: int(r.GetDisruptionBudget()),
	}
	for _, dependency := range r.GetAfter() {
		s.DependsOn = append(s.DependsOn, int(dependency))
	}
	return s
}
