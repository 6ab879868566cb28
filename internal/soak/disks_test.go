package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"nickelline/internal/faultdisk"
	controlclient "nickelline/internal/operator"
	"nickelline/internal/pause"
)

var soloDiskFault = flag.Duration("soak.solofault", time.Second, "how long a disk of one of two stores fails")

var diskDuration = flag.Duration("soak.disks", 15*time.Second, "how long disks fail in a run with failing disks")

const (
	meanDiskPause    = 700 * time.Millisecond // between two faults of disks
	minDiskFault     = 100 * time.Millisecond
	maxDiskFault     = 2500 * time.Millisecond
	maxDiskDelay     = 800 * time.Millisecond
	soloDiskPause    = 2500 * time.Millisecond // between the ends of two such faults
	partitions       = 16
	retireTimeout    = 30 * time.Second
	partitionOneIn   = 4 // faults that hit one partition only
	delayOneIn       = 6 // faults that only delay
	severalDisksIn   = 6 // faults that hit a disk although another one of the same role fails
	allOperationsPct = 40
)

// buildFailingProgram builds the program of the tier with a disk that fails as its process's file says.
func buildFailingProgram(t *testing.T) string {
	t.Helper()
	if *builtProgram != "" {
		return *builtProgram
	}
	path := filepath.Join(t.TempDir(), "nickelline-failing")
	out, err := exec.Command("go", "test", "-c", "-o", path, "nickelline/cmd/nickelline").CombinedOutput()
	if err != nil {
		t.Fatalf("go test -c: %v\n%s", err, out)
	}
	return path
}

// runFailingDisks makes a run for each seed, beside the other tests that call it, and reports what processes did wrong as failures, too.
func runFailingDisks(t *testing.T, disturb func(ctx context.Context, tier *tier, random *rand.Rand)) {
	t.Parallel()
	program := buildFailingProgram(t)
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			record := newRecord()
			soak(t, program, seed, record, func(ctx context.Context, tier *tier) { disturb(ctx, tier, newRandom(seed, "disks")) })
			for _, text := range record.processes {
				t.Error(text)
			}
		})
	}
}

// TestSoakFailingDisks guards against processes that end, and promises that are broken, because disks fail: in each operation, with each
// error, of one partition or of all, while processes are killed, restarted and frozen.
func TestSoakFailingDisks(t *testing.T) {
	runFailingDisks(t, func(ctx context.Context, tier *tier, random *rand.Rand) {
		record := tier.processes[0].record
		processes := newFaults(tier, record, random)
		disks := &diskFaults{faults: processes, failing: map[*process]bool{}}
		var both sync.WaitGroup
		both.Go(func() { processes.run(ctx, *diskDuration) })
		both.Go(func() { disks.run(ctx, *diskDuration) })
		both.Wait()
	})
}

// TestSoakFailingDiskOfTwoStores guards against store processes that end by themselves after a disk has failed for a second, when a third
// store was retired and the partitions cannot do without either of the others.
func TestSoakFailingDiskOfTwoStores(t *testing.T) {
	runFailingDisks(t, func(ctx context.Context, tier *tier, random *rand.Rand) {
		members := tier.ofRole(roleStore)
		if !tier.retire(ctx, t, members[0]) {
			return
		}
		for began, i := time.Now(), 0; time.Since(began) < *diskDuration; i++ {
			p := members[1+i%(len(members)-1)]
			operations := []faultdisk.Operation{faultdisk.Operations[random.IntN(len(faultdisk.Operations))]}
			if random.IntN(100) < allOperationsPct {
				operations = faultdisk.Changes
			}
			p.failDisk(ctx, &faultdisk.Fault{Operations: operations, Errno: faultdisk.Errors[random.IntN(len(faultdisk.Errors))]}, *soloDiskFault)
			pause.For(ctx, soloDiskPause)
		}
	})
}

// failDisk makes the process's disk fail for a time.
func (p *process) failDisk(ctx context.Context, fault *faultdisk.Fault, d time.Duration) {
	if err := faultdisk.WriteFault(p.faultPath(), fault); err != nil {
		p.t.Error(err)
		return
	}
	pause.For(ctx, d)
	if err := os.Remove(p.faultPath()); err != nil {
		p.t.Error(err)
	}
}

// diskFaults makes disks fail by a seeded schedule, independently of the faults of processes, whose random numbers it uses.
type diskFaults struct {
	*faults
	mutex   sync.Mutex
	failing map[*process]bool
}

// run makes disks fail for a time, and returns when all work again.
func (f *diskFaults) run(ctx context.Context, d time.Duration) {
	var running sync.WaitGroup
	for began := time.Now(); time.Since(began) < d && pause.For(ctx, f.between(0, 2*meanDiskPause)); {
		p := f.tier.processes[f.number(len(f.tier.processes))]
		if p.role == roleProxy || !f.begin(p) {
			continue
		}
		fault, length := f.draw(), f.between(minDiskFault, maxDiskFault)
		running.Go(func() {
			defer f.end(p)
			p.failDisk(ctx, fault, length)
		})
	}
	running.Wait()
}

// begin marks that the disk of a process begins to fail, and reports whether it may. Mostly, only one disk of each role fails at a time.
func (f *diskFaults) begin(p *process) bool {
	others := f.number(severalDisksIn) == 0
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for other := range f.failing {
		if other == p || other.role == p.role && !others {
			return false
		}
	}
	f.failing[p] = true
	return true
}

func (f *diskFaults) end(p *process) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.failing, p)
}

// draw draws a fault.
func (f *diskFaults) draw() *faultdisk.Fault {
	fault := &faultdisk.Fault{
		Operations: []faultdisk.Operation{faultdisk.Operations[f.number(len(faultdisk.Operations))]},
		Errno:      faultdisk.Errors[f.number(len(faultdisk.Errors))],
	}
	if f.number(100) < allOperationsPct {
		fault.Operations = faultdisk.Operations
	}
	if f.number(partitionOneIn) == 0 {
		fault.Path = fmt.Sprintf("partition-%d/", f.number(partitions))
	}
	if f.number(delayOneIn) == 0 {
		fault.Errno = 0
		fault.Delay = f.between(0, maxDiskDelay)
	}
	return fault
}

// retire empties a store, and reports whether that came to its end.
func (tier *tier) retire(ctx context.Context, t *testing.T, p *process) bool {
	t.Helper()
	var nodes []string
	for i := range *controls {
		nodes = append(nodes, tier.layout.control(i).String())
	}
	client, err := controlclient.New(controlclient.Options{Nodes: nodes, Timeout: callTimeout})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(ctx, retireTimeout)
	defer cancel()
	err = client.Retire(ctx, p.name, retireTimeout)
	for ; pause.For(ctx, pollPause); pause.For(ctx, pollPause) {
		if err != nil {
			err = client.Retire(ctx, p.name, retireTimeout)
			continue
		}
		if retired, _ := client.IsRetired(ctx, p.name); retired {
			return true
		}
	}
	t.Errorf("%s is not retired after %v: %v", p.name, retireTimeout, err)
	return false
}

// repairTime is how long a store has to get its data again before another one loses its own: catchUpS and some time for a busy machine.
const repairTime = 8 * time.Second

// TestSoakDamagedLogs guards against a store process that ends, or loses more than the data of the partition, because a log is damaged when it
// starts. The stores lose their logs one after the other, so that all results have to be from a copy that was made after a loss.
func TestSoakDamagedLogs(t *testing.T) {
	runFailingDisks(t, func(ctx context.Context, tier *tier, random *rand.Rand) {
		pause.For(ctx, repairTime) // until all stores have jobs
		for _, p := range tier.ofRole(roleStore) {
			pause.For(ctx, between(random, 0, repairTime/4))
			p.kill()
			p.awaitEnd(gracePeriod)
			p.damageLogs(random)
			p.start()
			pause.For(ctx, repairTime)
		}
	})
}

// damageLogs changes a byte in the first half of each log of the process's partitions, which does not run. At the end of a log damage cannot
// be told from a write that a loss of power has cut short.
func (p *process) damageLogs(random *rand.Rand) {
	segments, err := filepath.Glob(filepath.Join(p.directory, p.name+"-data", "partition-*", "log", "*.segment"))
	if err != nil || len(segments) == 0 {
		p.t.Errorf("segments of %s: got %d, %v, want some", p.name, len(segments), err)
	}
	for _, name := range segments {
		data, err := os.ReadFile(name)
		if err != nil || len(data) == 0 {
			continue
		}
		data[random.IntN(1+len(data)/2)] ^= 0xff
		if err := os.WriteFile(name, data, 0o600); err != nil {
			p.t.Error(err)
		}
	}
}
