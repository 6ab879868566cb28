// Package simnet simulates processes, a network and disks, for seeded tests of protocol state machines. All that happens
// in a simulation is a function of its seed.
//
// A simulation has one goroutine: the test calls Clock.Step or RunUntil, which call what was scheduled. Nothing waits.
//
// # Files in reading order
//
//   - clock.go: the clock and its queue of events
//   - process.go: processes that stop, and freeze and thaw
//   - network.go: messages between addresses, with delay, loss, reordering and partitions
//   - disk.go, disk_power.go, mount.go, inode.go, handle.go: disks that lose power
package simnet
