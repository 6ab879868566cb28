package chain

import (
	"context"
	"testing"
)

// BenchmarkPropose commits one command after another over three replicas in this process, with real disk syncs.
func BenchmarkPropose(b *testing.B) {
	c := newCluster(b, 3, 3)
	c.propose(c.members[0], 1)
	command := append(addCommand(1), make([]byte, 500)...)
	head := c.head()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := head.Propose(context.Background(), command); err != nil {
			b.Fatal(err)
		}
	}
}
