package chain

import (
	"fmt"
	"os"
	"strconv"
	"testing"
)

// Seeded histories: replicas of a chain run on simulated disks and a simulated network with injected faults.
// NICKELLINE_CHAIN_HISTORIES sets how many histories are run, and NICKELLINE_CHAIN_SEED the first seed.
const (
	historiesVariable = "NICKELLINE_CHAIN_HISTORIES"
	seedVariable      = "NICKELLINE_CHAIN_SEED"
	defaultHistories  = 600
	historyWorkers    = 4
)

// environment returns the number in an environment variable, or the default if it is not set.
func environment(t *testing.T, name string, defaultValue int) int {
	text := os.Getenv(name)
	if text == "" {
		return defaultValue
	}
	value, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return value
}

func TestSeededHistories(t *testing.T) { runHistories(t, newSimulation) }

// runHistories runs the histories that historiesVariable and seedVariable ask for, in several goroutines.
func runHistories(t *testing.T, begin func(t *testing.T, seed uint64) *simulation) {
	histories := environment(t, historiesVariable, defaultHistories)
	firstSeed := environment(t, seedVariable, 1)
	if testing.Short() {
		histories /= 10
	}
	for worker := range historyWorkers {
		t.Run(fmt.Sprintf("worker %d", worker), func(t *testing.T) {
			t.Parallel()
			var total summary
			for i := worker; i < histories && !t.Failed(); i += historyWorkers {
				s := begin(t, uint64(firstSeed+i))
				s.run()
				total.add(s)
			}
			t.Logf("%+v", total)
		})
	}
}

// summary counts what happened in histories, to show that they exercise the protocol.
type summary struct{ histories, views, entries, disksLost, replaced, reads, writes, refused, unclear int }

func (t *summary) add(s *simulation) {
	t.histories++
	t.views += len(s.views)
	t.entries += len(s.committed)
	t.disksLost += s.losses.total
	t.replaced += s.losses.replaced
	for _, o := range s.operations {
		switch {
		case o.dropped:
			t.refused++
		case !o.done:
			t.unclear++
		case o.read:
			t.reads++
		default:
			t.writes++
		}
	}
}
