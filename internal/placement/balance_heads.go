package placement

import (
	"math"
	"slices"

	"nickelline/internal/view"
)

// noMember is the position that stands for no member of a view.
const noMember = -1

// headMove is the change of a partition's head to another member.
type headMove struct {
	partition int
	// position is that of the new head in the current view, noMember for no move.
	position int
	// difference is the number of partitions whose head is on the store of the current head, minus the number of those whose
	// head is on the store of the new head.
	difference int
	// running is how many items run at the current head.
	running uint32
}

// isBetterThan reports whether a move has a greater difference than the best one so far, or the same with fewer running items.
func (m headMove) isBetterThan(best headMove) bool {
	if m.difference != best.difference {
		return m.difference > best.difference
	}
	return m.running < best.running && best.position != noMember
}

// balanceHeads moves the heads of partitions to members whose stores are the head of fewer partitions: first heads without
// running items, then, if the policy allows it, at most one head with running items.
func (p *plan) balanceHeads() {
	for range p.policy.concurrentMoves() {
		best := p.bestHeadMove(0)
		if best.position == noMember {
			break
		}
		p.moveHead(best)
	}
	if !p.policy.MayInterrupt {
		return
	}
	if best := p.bestHeadMove(math.MaxUint32); best.position != noMember {
		p.moveHead(best)
	}
}

// bestHeadMove returns the best move among the heads with at most maximumRunning running items.
func (p *plan) bestHeadMove(maximumRunning uint32) headMove {
	best := headMove{position: noMember, difference: minimumLoadDifference - 1, running: math.MaxUint32}
	for i := range p.table.Partitions {
		if p.changed[i] || len(p.table.Partitions[i].Learners) > 0 || !p.isStable(i) {
			continue
		}
		running := p.runningItems(i)
		if running > maximumRunning {
			continue
		}
		for position, member := range p.table.Partitions[i].View.Members {
			move := headMove{partition: i, position: position, difference: p.headDifference(i, member), running: running}
			if move.isBetterThan(best) && !p.stores[p.storeOf(member)].Retiring {
				best = move
			}
		}
	}
	return best
}

// headDifference returns headMove.difference for a move of a partition's head to a member.
func (p *plan) headDifference(partition int, member view.Member) int {
	return p.heads[p.headStore(partition)] - p.heads[p.storeOf(member)]
}

// runningItems returns how many items run at the head of a partition.
func (p *plan) runningItems(partition int) uint32 {
	v := p.table.Partitions[partition].View
	progress, _ := p.stores[p.headStore(partition)].progress(v.Chain)
	return progress.Running
}

func (p *plan) moveHead(move headMove) {
	v := p.table.Partitions[move.partition].View
	head := v.Members[move.position]
	p.addHeads(p.headStore(move.partition), -1)
	p.addHeads(p.storeOf(head), 1)
	members := slices.Concat([]view.Member{head}, v.Members[:move.position], v.Members[move.position+1:])
	p.setView(move.partition, view.View{Chain: v.Chain, Epoch: v.Epoch + 1, Members: members}, HeadMoved)
}
