package simnet

import "slices"

func (d *Disk) used() int {
	total := 0
	for _, node := range d.names {
		total += len(node.data)
	}
	return total
}

// loseUnsyncedNames decides at random which of the unsynced changes of names survive a loss of power.
func (d *Disk) loseUnsyncedNames() {
	all := make(map[string]bool)
	for name := range d.names {
		all[name] = true
	}
	for name := range d.syncedNames {
		all[name] = true
	}
	kept := make(map[string]*inode)
	for _, name := range sortedKeys(all) {
		node := d.names[name]
		if node != d.syncedNames[name] && d.random.IntN(2) == 0 {
			node = d.syncedNames[name]
		}
		if node != nil {
			kept[name] = node.copyIfNamed()
		}
	}
	d.names = kept
	d.syncedNames = cloneNames(kept)
}

func (d *Disk) loseUnsyncedWrites() {
	outcome := drawLossOutcome(d.random)
	for _, name := range sortedKeys(d.names) {
		node := d.names[name]
		node.loseUnsyncedChanges(d.random, outcome)
		node.named = false
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func cloneNames(names map[string]*inode) map[string]*inode {
	clone := make(map[string]*inode, len(names))
	for name, node := range names {
		clone[name] = node
	}
	return clone
}
