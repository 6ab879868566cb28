// Package simnet simulates processes, a network and disks for seeded tests of protocol state machines. A simulation is
// deterministic: its seed determines everything that happens.
//
// A simulation has one goroutine: the test calls Clock.Step or Clock.RunUntil, which call the scheduled functions.
// Nothing waits in real time.
//
// # Files in reading order
//
//   - clock.go: the clock and its queue of events
//   - process.go: processes that stop, freeze and thaw
//   - network.go: messages between addresses, with delay, loss, reordering and partitions
//   - disk.go, disk_power.go, mount.go, inode.go, handle.go: disks that lose power
package simnet
