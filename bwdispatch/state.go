package bwdispatch

import "sort"

// ServiceState is the state of one service at one entry, for debugging.
type ServiceState struct {
	Service string        `json:"service"`
	Pool    string        `json:"pool"`
	Slots   int           `json:"slots"`
	Busy    int           `json:"busy"`
	Queued  int           `json:"queued"`
	Targets []TargetState `json:"targets"`
}

// TargetState is the state of one target at its home, for debugging.
type TargetState struct {
	Host     string `json:"host"`
	Homed    bool   `json:"homed"`
	InFlight int    `json:"inFlight"`
	Health   string `json:"health"`
}

// State returns the state of every service, ordered by name.
func (d *Dispatcher) State() []ServiceState {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	states := make([]ServiceState, 0, len(d.services))
	for _, s := range d.services {
		state := ServiceState{
			Service: s.name,
			Pool:    s.pool,
			Slots:   s.slots(now),
			Busy:    s.queue.InUse(),
			Queued:  s.queue.Len(),
		}
		for _, t := range s.sortedTargets() {
			state.Targets = append(state.Targets, TargetState{
				Host:     t.host.GetName(),
				Homed:    t.isHomed,
				InFlight: t.inFlight,
				Health:   t.health.State(now).String(),
			})
		}
		states = append(states, state)
	}
	sort.Slice(states, func(i, j int) bool { return states[i].Service < states[j].Service })
	return states
}
