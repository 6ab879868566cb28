package main

import (
	"fmt"
	"testing"

	"nickelline/internal/segment"
)

// noNode is a node of no role.
type noNode struct{ roleNode }

// TestStartAfterDamageGoesOn guards against a process that ends because files of its replica are damaged: the role has discarded them, and
// can be opened as a new replica.
func TestStartAfterDamageGoesOn(t *testing.T) {
	wait, attempts := newTestWait(), 0
	p := &process{log: wait.log}
	_, err := openRole(p, wait, func(*process, *diskWait) (noNode, error) {
		if attempts++; attempts == 1 {
			return noNode{}, fmt.Errorf("open log: %w", segment.ErrDamaged)
		}
		return noNode{}, nil
	})
	if err != nil || attempts != 2 {
		t.Errorf("start after damage: got %v after %d attempts, want it to succeed at the second", err, attempts)
	}
}
