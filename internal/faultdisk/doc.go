// Package faultdisk wraps a file system so that chosen operations fail, for tests. Unlike the disks of package simnet it has real files,
// and can be used by a process whose faults another process chooses.
package faultdisk
