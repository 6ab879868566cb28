package placement

import "slices"

// minimumLoadDifference is the least difference between two counts at which moving one unit reduces the difference.
const minimumLoadDifference = 2

// balanceReplicas begins moves of replicas to zones of lower cost (zoneCost), or to stores that hold fewer partitions. The
// store that is to take over a replica becomes a learner; dropExcess finishes the move once that store is a member.
func (p *plan) balanceReplicas() {
	for range p.policy.concurrentMoves() - p.movesInProgress() {
		best := p.bestMove()
		if best.gain == 0 {
			return
		}
		p.beginMove(best)
	}
}

// movesInProgress counts the partitions that have more replicas than the replication factor, learners included.
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
	// gain orders moves: a lower zone cost outweighs any difference of loads. 0 stands for no move.
	gain int
}

// bestMove returns the move with the highest gain over all partitions.
func (p *plan) bestMove() replicaMove {
	var best replicaMove
	lowest := p.lowestLoad()
	for i := range p.table.Partitions {
		if !p.canMove(i) || !p.mayGainFromMove(i, lowest) {
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

// mayGainFromMove reports whether a move of one of a partition's replicas may have a gain. It is a cheap check that avoids most
// calls of bestMoveOf.
func (p *plan) mayGainFromMove(partition, lowestLoad int) bool {
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

// minimumZoneDifference is the least difference between the costs of two zones at which a move between them helps. If
// replicas are concentrated, a difference of 1 is enough: the move adds a replica to the zone that holds more of them.
func (p *plan) minimumZoneDifference() int {
	if p.policy.Concentrated {
		return 1
	}
	return minimumLoadDifference
}

// canMove reports whether a partition needs no other change, so that a replica of it may be moved to balance the table.
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

// moveGain returns the gain of a move of one replica from one store to another while the partition's other replicas stay.
func (p *plan) moveGain(others []int, from, to int) int {
	zoneGain := p.zoneCost(others, p.stores[from].Zone) - p.zoneCost(others, p.stores[to].Zone)
	loadDifference := p.loads[from] - p.loads[to]
	switch {
	case zoneGain > 0:
		return zoneGain*2*p.loadScale() + loadDifference
	case zoneGain == 0 && loadDifference >= minimumLoadDifference:
		return loadDifference
	}
	return 0
}

// beginMove adds the learner of a move, and removes the store that it replaces from the assigned ones.
func (p *plan) beginMove(move replicaMove) {
	assigned := p.assigned[move.partition]
	p.addLearner(move.partition, move.to)
	p.assigned[move.partition] = slices.DeleteFunc(slices.Clone(assigned), func(store int) bool { return store == move.from })
	p.addLoad(move.from, -1)
}
