package bwmaintenance_test

import (
	"fmt"
	"testing"

	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwmaintenance"
)

// BenchmarkPlan measures one plan over a fleet that needs no action.
func BenchmarkPlan(b *testing.B) {
	for _, hosts := range []int{49, 350, 2000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			p := bwmaintenance.NewPlanner(bwmaintenance.Settings{})
			p.SetPools([]bwfleet.Pool{{Name: "p0"}, {Name: "p1"}, {Name: "p2"}, {Name: "p3"}, {Name: "spare", IsStandby: true}})
			var list []bwfleet.Host
			surveys := make(map[string]bwmaintenance.Survey)
			for i := range hosts {
				h := bwfleet.Host{ID: fmt.Sprint(i), Pool: fmt.Sprintf("p%d", i%4), State: bwfleet.HostUp, Executor: fmt.Sprint("e", i)}
				list = append(list, h)
				s, ok := surveys[h.Pool]
				if !ok {
					s = bwmaintenance.Survey{Executors: make(map[string]bwmaintenance.ExecutorSurvey), At: start, Demand: float64(hosts) / 5}
				}
				s.Executors[h.Executor] = bwmaintenance.ExecutorSurvey{Runs: 3}
				surveys[h.Pool] = s
			}
			p.SetHosts(list, start)
			for pool, s := range surveys {
				p.SetSurvey(pool, s)
			}
			for b.Loop() {
				p.Plan(start)
			}
		})
	}
}
