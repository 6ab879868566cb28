package simnet

import (
	"errors"
	"math/rand/v2"
	"path"
	"sync"

	"nickelline/internal/segment"
)

// ErrPowerLost is the error of all operations of a process whose machine lost power or that was killed.
var ErrPowerLost = errors.New("the simulated process has ended")

// ErrSyncFailed is the error of a sync that was made to fail.
var ErrSyncFailed = errors.New("the simulated disk failed to sync")

// Disk simulates the disk of a machine. What becomes of unsynced writes and names at a loss of power is drawn from its
// random source: each write is present, torn or missing, and each name is as it is or as it was when its directory was
// last synced. Its methods may be called from several goroutines.
type Disk struct {
	mutex       sync.Mutex
	random      *rand.Rand
	directories map[string]bool
	// names are those that a process sees, and syncedNames those that surely last.
	names       map[string]*inode
	syncedNames map[string]*inode
	// generation counts the processes that used the disk: only the newest may.
	generation int
	// capacity is how many bytes all files together may have, 0 for any number.
	capacity int
	// remaining is how many operations come before power is lost, negative for any number.
	remaining int
	// failingSyncs is the number of syncs to come that fail.
	failingSyncs int
	// stalled is closed when syncs go on, nil while they are not stalled.
	stalled chan struct{}
	// operations counts writes, syncs and changes of names.
	operations int
}

// NewDisk returns an empty disk. The same random source gives the same disk.
func NewDisk(random *rand.Rand) *Disk {
	disk := &Disk{random: random}
	disk.clear()
	return disk
}

func (d *Disk) clear() {
	d.directories = map[string]bool{".": true, "/": true}
	d.names = make(map[string]*inode)
	d.syncedNames = make(map[string]*inode)
	d.remaining = -1
	d.failingSyncs = 0
}

// Mount returns the disk's file system for a process that starts. Processes that had it before have ended.
func (d *Disk) Mount() segment.FileSystem {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.generation++
	d.remaining = -1
	return &mount{disk: d, generation: d.generation}
}

// Kill ends the process. The files stay as it left them.
func (d *Disk) Kill() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.generation++
}

// LosePower ends the process and loses what was not synced, or some of it.
func (d *Disk) LosePower() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.generation++
	d.settleNames()
	d.losePowerOfFiles()
}

// LosePowerAfter ends the process at the operation that follows the given number of them. LosePower then settles what is
// left.
func (d *Disk) LosePowerAfter(operations int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.remaining = operations
}

// Wipe ends the process and empties the disk.
func (d *Disk) Wipe() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.generation++
	d.clear()
}

// SetCapacity bounds the bytes of all files together. 0 stands for no bound.
func (d *Disk) SetCapacity(bytes int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.capacity = bytes
}

// FailSyncs makes the given number of syncs to come fail. Of the writes that a failed sync was to cover each is present,
// torn or missing afterwards.
func (d *Disk) FailSyncs(count int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.failingSyncs = count
}

// StallSyncs makes syncs wait until the returned function is called.
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

// Used returns the number of bytes of all files.
func (d *Disk) Used() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.used()
}

// Operations returns the number of writes, syncs and changes of names so far.
func (d *Disk) Operations() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.operations
}

// FlipBit changes one bit somewhere in a file, on the disk as well. It does nothing if there is no such file or if it is
// empty.
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
