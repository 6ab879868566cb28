package placement

import (
	"slices"

	"nickelline/internal/view"
)

// removeLearners removes the learners of a partition whose store is not known, or is no longer assigned to the partition.
func (p *plan) removeLearners(partition int) {
	if p.changed[partition] {
		return
	}
	current := &p.table.Partitions[partition]
	var remaining []view.Member
	for _, learner := range current.Learners {
		if store := p.storeOf(learner); store != noStore && slices.Contains(p.assigned[partition], store) {
			remaining = append(remaining, learner)
			continue
		}
		p.recordChange(partition, LearnerRemoved, learner.Name)
	}
	current.Learners = remaining
}

// addLearners assigns stores to a partition up to the replication factor, as far as there are eligible ones, and adds their
// replicas as learners.
func (p *plan) addLearners(partition int) {
	if p.changed[partition] {
		return
	}
	for len(p.assigned[partition]) < p.replicationFactor {
		store := p.bestStore(p.assigned[partition], noStore)
		if store == noStore {
			return
		}
		p.addLearner(partition, store)
	}
}

func (p *plan) addLearner(partition, store int) {
	current := &p.table.Partitions[partition]
	learner := p.stores[store].Member
	learner.Joined = 0
	current.Learners = append(current.Learners, learner)
	p.assigned[partition] = append(p.assigned[partition], store)
	p.addLoad(store, 1)
	p.recordChange(partition, LearnerAdded, learner.Name)
}
