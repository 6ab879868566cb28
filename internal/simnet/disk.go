package simnet

import (
	"errors"
	"math/rand/v2"
	"path"
	"sync"

	"nickelline/internal/segment"
)

// ErrProcessEnded is returned by all operations of a process that was killed or whose machine lost power.
var ErrProcessEnded = errors.New("the simulated process has ended")

// ErrFailed is matched by the error of an operation that FailOneIn made fail.
var ErrFailed = errors.New("the simulated disk has failed")

// ErrSyncFailed is returned by a sync that FailSyncs made fail.
var ErrSyncFailed = errors.New("the simulated disk failed to sync")

// Disk simulates the disk of a machine. Its random source determines what a loss of power does to unsynced writes and
// names: each write is present, torn or missing, and each name is kept as it is or reverts to the last sync of its
// directory. Its methods are safe for concurrent use.
type Disk struct {
	mutex       sync.Mutex
	random      *rand.Rand
	directories map[string]bool
	// names are the files that a process sees, and syncedNames those that survive any loss of power.
	names       map[string]*inode
	syncedNames map[string]*inode
	// generation counts the mounts of the disk and their ends. Only the mount of the current generation may use it.
	generation int
	// capacity is the largest total size of all files in bytes, 0 for no limit.
	capacity int
	// remainingOperations is how many changes succeed before power is lost, negative for no limit.
	remainingOperations int
	// failingSyncs is how many of the next syncs fail.
	failingSyncs int
	// failingOneIn is one in how many operations fail, 0 for none.
	failingOneIn int
	// stalled is closed when syncs resume. It is nil while they are not stalled.
	stalled chan struct{}
	// operations counts changes: writes, truncations, syncs and changes of names.
	operations int
}

// NewDisk returns an empty disk. Random sources with the same seed give disks that behave the same.
func NewDisk(random *rand.Rand) *Disk {
	disk := &Disk{random: random}
	disk.clear()
	return disk
}

func (d *Disk) clear() {
	d.directories = map[string]bool{".": true, "/": true}
	d.names = make(map[string]*inode)
	d.syncedNames = make(map[string]*inode)
	d.remainingOperations = -1
	d.failingSyncs = 0
	d.failingOneIn = 0
}

// Mount returns the disk's file system for a process that starts. It ends all file systems returned before.
func (d *Disk) Mount() segment.FileSystem {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.generation++
	d.remainingOperations = -1
	return &mount{disk: d, generation: d.generation}
}

// Kill ends the process that uses the disk. The files stay as it left them.
func (d *Disk) Kill() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.generation++
}

// LosePower ends the process. Any of the unsynced changes may be lost.
func (d *Disk) LosePower() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.generation++
	d.loseUnsyncedNames()
	d.loseUnsyncedWrites()
}

// LosePowerAfter lets the given number of changes succeed, and ends the process at the one that follows. A call of
// LosePower must then decide which unsynced changes are lost.
func (d *Disk) LosePowerAfter(operations int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.remainingOperations = operations
}

// Wipe ends the process and empties the disk.
func (d *Disk) Wipe() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.generation++
	d.clear()
}

// SetCapacity limits the total size of all files in bytes. 0 stands for no limit.
func (d *Disk) SetCapacity(bytes int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.capacity = bytes
}

// FailSyncs makes the next count syncs fail. After a failed sync of a file, each of its unsynced changes is on the disk, torn or
// missing, no later sync covers it, and a process reads either what is on the disk or all that was written.
func (d *Disk) FailSyncs(count int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.failingSyncs = count
}

// FailOneIn makes one in the given number of operations fail at random, with an error that is drawn at random. A change that fails is
// made or not, a write in part, and a sync fails as described at FailSyncs. 0 stands for no failures.
func (d *Disk) FailOneIn(operations int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.failingOneIn = operations
}

// StallSyncs makes syncs block until the returned function is called.
func (d *Disk) StallSyncs() (resume func()) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	stalled := make(chan struct{})
	d.stalled = stalled
	return sync.OnceFunc(func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		d.stalled = nil
		close(stalled)
	})
}

// Used returns the total size of all files in bytes.
func (d *Disk) Used() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.used()
}

// Operations returns the number of changes so far: writes, truncations, syncs and changes of names.
func (d *Disk) Operations() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.operations
}

// FlipBit flips a random bit of a file, and makes the whole file count as synced. It does nothing if the file does not
// exist or is empty.
func (d *Disk) FlipBit(name string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	node := d.names[path.Clean(name)]
	if node == nil || len(node.data) == 0 {
		return
	}
	node.data[d.random.IntN(len(node.data))] ^= 1 << d.random.IntN(8)
	node.markSynced()
}
