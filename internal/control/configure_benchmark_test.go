package control

import (
	"fmt"
	"strings"
	"testing"
)

// largeDocument makes a configuration with a number of routes and tenants.
func largeDocument(size int) string {
	var routes, tenants []string
	for i := range size {
		routes = append(routes, fmt.Sprintf(`{"name":"r-%d","hostname":"h","pathPrefix":"/p%d/","routeKind":"idempotent","timeoutMs":100,"service":"s"}`, i, i))
		tenants = append(tenants, fmt.Sprintf(`{"name":"t-%d","apiKeys":["key-%d"],"ratePerS":10,"burstSize":10}`, i, i))
	}
	return fmt.Sprintf(`{"version":1,"routes":[%s],"services":[{"name":"s"}],"limits":{},"tenants":[%s]}`,
		strings.Join(routes, ","), strings.Join(tenants, ","))
}

// BenchmarkPatch measures how long a replica takes to apply a small patch, by the size of the configuration.
func BenchmarkPatch(b *testing.B) {
	for _, size := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			m := NewMachine()
			if result := mustApply(b, m, put(0, largeDocument(size))); result.Outcome != Accepted {
				b.Fatal(result.Text)
			}
			var commands [][]byte
			for i := range b.N {
				body := fmt.Sprintf(`{"version":%d,"upsert":{"routes":[{"name":"r-5","hostname":"h","pathPrefix":"/p5/","timeoutMs":7,"service":"s"}]}}`, i+2)
				commands = append(commands, mustEncodeCommand(b, patch(uint64(i+1), body)))
			}
			b.ReportMetric(float64(len(commands[0])), "command-bytes")
			b.ReportAllocs()
			b.ResetTimer()
			for i, command := range commands {
				m.Apply(uint64(i+2), command)
			}
			b.StopTimer()
			b.ReportMetric(float64(len(m.Snapshot())), "snapshot-bytes")
			if m.State().Version() != uint64(b.N+1) {
				b.Fatalf("got version %d after %d patches, want %d", m.State().Version(), b.N, b.N+1)
			}
		})
	}
}
