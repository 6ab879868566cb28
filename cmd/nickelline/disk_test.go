package main

import (
	"math/rand/v2"
	"os"
	"testing"

	"nickelline/internal/segment"
	"nickelline/internal/simnet"
)

func TestCheckDisk(t *testing.T) {
	directory := t.TempDir()
	if err := checkDisk(segment.OSFileSystem{}, directory); err != nil {
		t.Fatal(err)
	}
	if left, err := os.ReadDir(directory); err != nil || len(left) != 0 {
		t.Errorf("directory after the check: got %v, %v, want it empty", left, err)
	}
}

func TestCheckOfFullDisk(t *testing.T) {
	disk := simnet.NewDisk(rand.New(rand.NewPCG(1, 1)))
	mounted := disk.Mount()
	if err := mounted.MakeDirectory("/data"); err != nil {
		t.Fatal(err)
	}
	if err := checkDisk(mounted, "/data"); err != nil {
		t.Fatal(err)
	}
	disk.SetCapacity(1 << 10)
	if checkDisk(mounted, "/data") == nil {
		t.Error("check of a full disk: got no error, want one")
	}
	disk.SetCapacity(1 << 20)
	if err := checkDisk(mounted, "/data"); err != nil {
		t.Errorf("check with free space again: %v", err)
	}
}
