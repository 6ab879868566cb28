package placement

import "slices"

// minimumLoadDifference is the least difference between two counts at which moving one makes them more even.
const minimumLoadDifference = 2

// balanceReplicas begins moves of replicas to stores that hold fewer partitions, or to zones that suit a partition better. The
// store that is to take over a replica becomes a learner; dropExcess finishes the move once it has become a member.
func (p *plan) balanceReplicas() {
	for range p.policy.concurrentMoves() - p.movesInProgress() {
		best := p.bestMove()
		if best.gain == 0 {
			return
		}
		p.beginMove(best)
	}
}

// movesInProgress counts the partitions that have more replicas than wanted, learners included.
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
	// gain orders moves: zones count more than loads. 0 stands for no move.
	gain int
}

// bestMove returns the move with the highest gain over all partitions.
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

// lowestLoad returns the load of the eligible store that holds the fewest partitions.
func (p *plan) lowestLoad() int {
	lowest := len(p.table.Partitions)
	for store := range p.stores {
		if p.stores[store].isEligible() {
			lowest = min(lowest, p.loads[store])
		}
	}
	return lowest
}

// isUneven reports whether a move of one of a partition's replicas may have a gain. It is a quick check that saves most
// searches for one.
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

// minimumZoneDifference is the least difference between the costs of two zones at which a move between them helps. Where
// replicas are concentrated, one more in the same zone does.
func (p *plan) minimumZoneDifference() int {
	if p.policy.Concentrated {
		return 1
	}
	return minimumLoadDifference
}

// canMove reports whether a partition needs no other change, so that it may be changed for the sake of balance.
func (p *plan) canMove(partition int) bool {
	current := &p.table.Partitions[partition]
	return !p.changed[partition] && len(current.Learners) == 0 && len(current.View.Members) == p.replicationFactor &&
		len(p.assigned[partition]) == p.replicationFactor && p.isStable(partition)
}

// bestMoveOf returns the move with the highest gain of a replica of a partition.
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

// moveGain returns how much better it is to have a replica beside the others at a store than at another one.
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

// beginMove adds the learner of a move, and counts the store that is to be left as not assigned any more.
func (p *plan) beginMove(move replicaMove) {
	assigned := p.assigned[move.partition]
	p.addLearner(move.partition, move.to)
	p.assigned[move.partition] = slices.DeleteFunc(slices.Clone(assigned), func(store int) bool { return store == move.from })
	p.addLoad(move.from, -1)
}
