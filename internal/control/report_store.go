package control

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// reportStore keeps the latest report of each store. Its methods may be called concurrently.
type reportStore struct {
	mutex     sync.Mutex
	byReplica map[uint64]receivedReport
}

type receivedReport struct {
	store    string // name
	chains   []ChainStatus
	impaired bool
	trouble  *DiskTrouble
	at       time.Time
}

func newReportStore() *reportStore { return &reportStore{byReplica: map[uint64]receivedReport{}} }

// put stores a report that was received at a time, and returns whether it differs from the previous one of its store.
func (r *reportStore) put(report Report, at time.Time) bool {
	slices.SortFunc(report.Chains, func(a, b ChainStatus) int { return cmp.Compare(a.Chain, b.Chain) })
	r.mutex.Lock()
	defer r.mutex.Unlock()
	last, known := r.byReplica[report.Store.Replica]
	r.byReplica[report.Store.Replica] = receivedReport{
		store:    report.Store.Name,
		chains:   report.Chains,
		impaired: report.Impaired,
		trouble:  report.DiskTrouble,
		at:       at,
	}
	return !known || last.impaired != report.Impaired || !slices.Equal(last.chains, report.Chains)
}

// recent returns the chains of a replica's latest report, and whether that report was received at or after since and the
// replica is not impaired.
func (r *reportStore) recent(replica uint64, since time.Time) ([]ChainStatus, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	received, known := r.byReplica[replica]
	return received.chains, known && !received.impaired && !received.at.Before(since)
}

// diskTroubles returns the troubles in the reports, by the names of the stores.
func (r *reportStore) diskTroubles() map[string]DiskTrouble {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	troubles := map[string]DiskTrouble{}
	for _, received := range r.byReplica {
		if received.trouble != nil {
			troubles[received.store] = *received.trouble
		}
	}
	return troubles
}

// expire drops the reports that were received before the given time.
func (r *reportStore) expire(before time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	maps.DeleteFunc(r.byReplica, func(_ uint64, received receivedReport) bool { return received.at.Before(before) })
}
