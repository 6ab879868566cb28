package soak

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"nickelline/internal/pause"
)

// memoryPause is the time between two looks at the memory of all processes.
const memoryPause = 500 * time.Millisecond

// watchMemory records processes that use more memory than their settings allow, until ctx ends. It returns the most that any has used, in MB.
func (tier *tier) watchMemory(ctx context.Context) (most int) {
	reported := map[*process]bool{}
	for pause.For(ctx, memoryPause) {
		for _, p := range tier.processes {
			used := p.residentMB()
			most = max(most, used)
			if used > memoryMB && !reported[p] {
				reported[p] = true
				p.record.misbehaved("%s uses %d MB of memory, more than %d", p.name, used, memoryMB)
			}
		}
	}
	return most
}

// residentMB returns the memory that the process has resident, 0 if it does not run.
func (p *process) residentMB() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.isRunning() {
		return 0
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		var kilobytes int
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kilobytes); n == 1 {
			return kilobytes >> 10
		}
	}
	return 0
}
