package view

import (
	"errors"
	"math/rand/v2"
	"testing"

	"nickelline/internal/segment"
	"nickelline/internal/simnet"
)

func TestIdentityLastsUntilTheDiskIsLost(t *testing.T) {
	disk := simnet.NewDisk(rand.New(rand.NewPCG(1, 1)))
	first, created, err := LoadIdentity(disk.Mount(), "/data")
	if err != nil || !created || first == 0 {
		t.Fatalf("first identity: got %v, created %v, %v; want a new one", first, created, err)
	}
	disk.LosePower()
	again, created, err := LoadIdentity(disk.Mount(), "/data")
	if err != nil || created || again != first {
		t.Fatalf("identity after a loss of power: got %v, created %v, %v; want %v", again, created, err, first)
	}
	disk.Wipe()
	other, created, err := LoadIdentity(disk.Mount(), "/data")
	if err != nil || !created || other == first {
		t.Fatalf("identity after the loss of the disk: got %v, created %v, %v; want another one", other, created, err)
	}
}

func TestDamagedIdentityIsNotReplaced(t *testing.T) {
	disk := simnet.NewDisk(rand.New(rand.NewPCG(1, 1)))
	if _, _, err := LoadIdentity(disk.Mount(), "/data"); err != nil {
		t.Fatal(err)
	}
	disk.FlipBit("/data/" + identityFile)
	if _, _, err := LoadIdentity(disk.Mount(), "/data"); !errors.Is(err, segment.ErrDamaged) {
		t.Fatalf("got error %v, want %v", err, segment.ErrDamaged)
	}
}
