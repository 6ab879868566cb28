package quota

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRenewalSize reports the sizes of the messages of a renewal, divided by the number of tenants in it.
func BenchmarkRenewalSize(b *testing.B) {
	for _, tenants := range []int{8, 100, 940} {
		b.Run(fmt.Sprint(tenants), func(b *testing.B) {
			a, now := allocatorAfterGrace(Limit{Rate: 50, Burst: 50})
			register(a, now, Leaseholder{proxyAddress, 1})
			entries := make([]Entry, tenants)
			for i := range entries {
				entries[i] = Entry{Tenant: fmt.Sprintf("tenant-%d", i), Demand: 3, Need: 1}
			}
			asked, answered := 0, 0
			sequence := uint64(0)
			for b.Loop() {
				sequence++
				now = now.Add(time.Second)
				renewal := &Renewal{Generation: 1, Sequence: sequence, Entries: entries}
				request, err := encodeRenewal(renewal)
				if err != nil {
					b.Fatal(err)
				}
				grants, err := a.Renew(now, Leaseholder{proxyAddress, 1}, renewal)
				if err != nil {
					b.Fatal(err)
				}
				reply, err := encodeAnswer(&renewalAnswer{grants: grants})
				if err != nil {
					b.Fatal(err)
				}
				asked, answered = len(request), len(reply)
			}
			b.ReportMetric(float64(asked)/float64(tenants), "request-bytes/tenant")
			b.ReportMetric(float64(answered)/float64(tenants), "answer-bytes/tenant")
		})
	}
}
