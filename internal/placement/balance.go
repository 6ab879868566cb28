package placement

import (
	"math"
	"slices"

	"nickelline/internal/view"
)

// worthwhileDifference is the difference between two counts from which on moving one makes them more even.
const minimumLoadDifference = 2

// balanceReplicas begins moves of replicas to stores that hold fewer partitions, or to zones with fewer replicas of a
// partition: the store that is to take a replica becomes a learner.
func (p *plan) balanceReplicas() {
	for range p.policy.concurrentMoves() - p.movesInProgress() {
		best := p.bestMove()
		if best.gain == 0 {
			return
		}
		p.beginMove(best)
	}
}

// movesUnderWay counts the partitions that have more replicas than wanted, learners included.
func (p *plan) movesInProgress() int {
	count := 0
	for i := range p.table.Partitions {
		partition := &p.table.Partitions[i]
		if len(partition.View.Members)+len(partition.Learners) > p.replicationFactor {
			count++
		}
	}
	return count
}

// replicaMove is the move of one replica of a partition to another store.
type replicaMove struct {
	partition int
	from, to  int
	// gain orders moves: zones count more than loads. 0 is no move.
	gain int
}

func (p *plan) bestMove() replicaMove {
	var best replicaMove
	lowest := p.lowestLoad()
	for i := range p.table.Partitions {
		if !p.canMove(i) || !p.isUneven(i, lowest) {
			continue
		}
		if move := p.bestMoveOf(i); move.gain > best.gain {
			best = move
		}
	}
	return best
}

// lowestLoad is that of the store that holds the fewest partitions.
func (p *plan) lowestLoad() int {
	lowest := len(p.table.Partitions)
	for store := range p.stores {
		if p.stores[store].isEligible() {
			lowest = min(lowest, p.loads[store])
		}
	}
	return lowest
}

// isUneven tells whether a move of one of a partition's replicas may be worthwhile. It spares most searches.
func (p *plan) isUneven(partition, lowestLoad int) bool {
	assigned := p.assigned[partition]
	lowestCost := len(assigned)
	for i := range p.zones {
		lowestCost = min(lowestCost, p.zoneCost(assigned, p.zones[i].name))
	}
	return slices.ContainsFunc(assigned, func(store int) bool {
		return p.loads[store]-lowestLoad >= minimumLoadDifference ||
			p.zoneCost(assigned, p.stores[store].Zone)-lowestCost >= p.minimumZoneDifference()
	})
}

// worthwhileZoneDifference is the difference between the costs of two zones from which on a move between them helps. Where
// replicas are concentrated, joining one more already does.
func (p *plan) minimumZoneDifference() int {
	if p.policy.Concentrated {
		return 1
	}
	return minimumLoadDifference
}

// mayMove tells whether a partition is in order, so that it can be changed for the sake of balance.
func (p *plan) canMove(partition int) bool {
	current := &p.table.Partitions[partition]
	return !p.changed[partition] && len(current.Learners) == 0 && len(current.View.Members) == p.replicationFactor &&
		len(p.assigned[partition]) == p.replicationFactor && p.isStable(partition)
}

func (p *plan) bestMoveOf(partition int) replicaMove {
	var best replicaMove
	assigned := p.assigned[partition]
	for position, from := range assigned {
		others := slices.Concat(assigned[:position], assigned[position+1:])
		to := p.bestStore(others, from)
		if to == noStore {
			continue
		}
		if gain := p.moveGain(others, from, to); gain > best.gain {
			best = replicaMove{partition: partition, from: from, to: to, gain: gain}
		}
	}
	return best
}

// gain tells how much better it is to have a replica beside the others at a store than at another one.
func (p *plan) moveGain(others []int, from, to int) int {
	zones := p.zoneCost(others, p.stores[from].Zone) - p.zoneCost(others, p.stores[to].Zone)
	difference := p.loads[from] - p.loads[to]
	switch {
	case zones > 0:
		return zones*2*p.loadScale() + difference
	case zones == 0 && difference >= minimumLoadDifference:
		return difference
	}
	return 0
}

func (p *plan) beginMove(move replicaMove) {
	assigned := p.assigned[move.partition]
	p.addLearner(move.partition, move.to)
	p.assigned[move.partition] = slices.DeleteFunc(slices.Clone(assigned), func(store int) bool { return store == move.from })
	p.addLoad(move.from, -1)
}

// balanceHeads hands the heads of partitions to members whose stores are head of fewer: those that have nothing to run
// first, and of the others one at most.
func (p *plan) balanceHeads() {
	for range p.policy.concurrentMoves() {
		partition, member := p.bestHeadMove(0)
		if member == noStore {
			break
		}
		p.moveHead(partition, member)
	}
	if !p.policy.MayInterrupt {
		return
	}
	if partition, member := p.bestHeadMove(math.MaxUint32); member != noStore {
		p.moveHead(partition, member)
	}
}

// bestHeadMove gives the partition, and the position of the member that should be its head, with the greatest difference,
// and of those with equal ones that with the fewest running items. Partitions with more items than a number are left out.
func (p *plan) bestHeadMove(mostRunning uint32) (partition, member int) {
	member = noStore
	greatest := minimumLoadDifference - 1
	fewest := uint32(math.MaxUint32)
	for i := range p.table.Partitions {
		if p.changed[i] || len(p.table.Partitions[i].Learners) > 0 || !p.isStable(i) {
			continue
		}
		head := p.headStore(i)
		running := p.runningItems(i)
		if running > mostRunning {
			continue
		}
		for position, candidate := range p.table.Partitions[i].View.Members {
			store := p.storeOf(candidate)
			difference := p.heads[head] - p.heads[store]
			better := difference > greatest || difference == greatest && running < fewest && member != noStore
			if better && !p.stores[store].Retiring {
				partition, member, greatest, fewest = i, position, difference, running
			}
		}
	}
	return partition, member
}

// running is how many items run at the head of a partition.
func (p *plan) runningItems(partition int) uint32 {
	v := p.table.Partitions[partition].View
	progress, _ := p.stores[p.headStore(partition)].progress(v.Chain)
	return progress.Running
}

func (p *plan) moveHead(partition, position int) {
	v := p.table.Partitions[partition].View
	head := v.Members[position]
	p.addHeads(p.headStore(partition), -1)
	p.addHeads(p.storeOf(head), 1)
	members := slices.Concat([]view.Member{head}, v.Members[:position], v.Members[position+1:])
	p.setView(partition, view.View{Chain: v.Chain, Epoch: v.Epoch + 1, Members: members}, HeadMoved)
}
