package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryLimit is memory_mb of the settings, above which the platform kills a process.
	memoryLimit = 284 << 20
	// memoryInterval is the interval at which the platform looks at the memory of the processes.
	memoryInterval = 50 * time.Millisecond
)

// platform is a stand-in of what the platform does to processes: it kills one that exceeds its memory, and starts
// one that was killed again.
type platform struct {
	fleet *fleet

	mu    sync.Mutex
	peak  int
	kills int
}

// watchMemory watches the memory of all nodes until the case ends.
func (f *fleet) watchMemory() *platform {
	p := &platform{fleet: f}
	for _, n := range f.nodes {
		go p.watch(n)
	}
	return p
}

func (p *platform) watch(n *node) {
	for {
		time.Sleep(memoryInterval)
		p.mu.Lock()
		used := residentBytes(n.command.Process.Pid)
		p.peak = max(p.peak, used)
		p.mu.Unlock()
		if used > memoryLimit {
			p.fleet.record("memory", n.name, fmt.Sprintf("%d MB", used>>20))
			p.mu.Lock()
			p.kills++
			p.mu.Unlock()
			p.kill(n)
		}
	}
}

// kill kills a process and starts it again after a short delay.
func (p *platform) kill(n *node) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet.signal(n, syscall.SIGKILL)
	time.Sleep(restartDelay)
	if err := p.fleet.startNode(n); err != nil {
		p.fleet.record("memory", n.name, "cannot be started again: "+err.Error())
	}
}

// counts returns the most memory of a process in bytes and the number of processes killed for their memory.
func (p *platform) counts() (peak, kills int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peak, p.kills
}

// residentBytes returns the memory that a process holds, or 0 if it has ended.
func residentBytes(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize()
}
