package gossip

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// seedCount is the number of simulation runs of each test.
const seedCount = 10

func forEachSeed(t *testing.T, test func(t *testing.T, seed uint64)) {
	t.Helper()
	for seed := range uint64(seedCount) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			test(t, seed)
		})
	}
}

func TestVersionReachesAllMembers(t *testing.T) {
	const size = 100
	for _, bytes := range []int{100, 2 * maxDigestBytes} {
		t.Run(fmt.Sprint(bytes, " bytes"), func(t *testing.T) {
			forEachSeed(t, func(t *testing.T, seed uint64) {
				s := newSimulation(t, seed, size)
				s.datagramLossRate = 0.01
				s.run(5*time.Second, nil)
				start := s.clock.Now()
				s.publish(s.nodes[int(seed)%size], Backends, 1, bytes)
				s.run(start+300*time.Millisecond, nil)
				if reached := s.nodesWithVersion(Backends, 1); reached < size*3/4 {
					t.Errorf("nodes with the version after 300 ms: got %d, want at least %d", reached, size*3/4)
				}
				s.run(start+2*testHeartbeat, func() bool { return s.nodesWithVersion(Backends, 1) == size })
				if reached := s.nodesWithVersion(Backends, 1); reached < size {
					t.Errorf("nodes with the version after two heartbeats: got %d, want %d", reached, size)
				}
				t.Logf("all after %v, %d datagrams, %d fetches", s.clock.Now()-start, s.datagrams, s.fetches)
			})
		})
	}
}

func TestAllMembersConvergeOnTheNewestVersion(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		s := newSimulation(t, seed, 60)
		s.datagramLossRate = 0.3
		s.callFailureRate = 0.1
		s.maxLatency = 500 * time.Millisecond
		const versions = 50
		for sequence := uint64(1); sequence <= versions; sequence++ {
			publisher := s.nodes[s.random.IntN(len(s.nodes))]
			delay := time.Duration(s.random.Int64N(int64(10 * time.Second)))
			s.clock.At(delay, func() { s.publish(publisher, Placement, sequence, s.random.IntN(2*maxDigestBytes)) })
		}
		s.run(30*time.Second, nil)
		if reached := s.nodesWithVersion(Placement, versions); reached != len(s.nodes) {
			t.Errorf("nodes with the newest version: got %d, want %d", reached, len(s.nodes))
		}
	})
}

// commitHistory records the actual time at which each version was committed, in order from sequence 1.
type commitHistory struct{ commits []time.Duration }

// newestAt returns the sequence of the newest version at a time, 0 before the first commit.
func (r *commitHistory) newestAt(at time.Duration) uint64 {
	count, _ := slices.BinarySearch(r.commits, at+1)
	return uint64(count)
}

// barrier is the proof by a control process that the sequence was the newest at asOf.
type barrier struct {
	asOf     time.Duration
	sequence uint64
}

// simulateCommits simulates commits, and the barriers by which control processes prove which version is the newest. A new
// version is certified as of the last barrier, since it is at least as current as the version that the barrier proved.
func (s *simulation) simulateCommits(until time.Duration, commitPeriod, barrierPeriod, barrierDelay time.Duration) *commitHistory {
	r := &commitHistory{}
	barriers := make(map[*simulatedNode]barrier)
	vary := func(period time.Duration) time.Duration {
		return period/2 + time.Duration(s.random.Int64N(int64(period)))
	}
	for at := vary(commitPeriod); at < until; at += vary(commitPeriod) {
		s.clock.At(at, func() {
			r.commits = append(r.commits, s.clock.Now())
			sequence := uint64(len(r.commits))
			for _, n := range s.controls() {
				s.clock.At(s.clock.Now()+s.latency(), func() {
					version := Version{Sequence: sequence}
					last, proven := barriers[n]
					s.deliver(n, func() {
						n.disseminator.publish(s.clock.Now(), Value{Topic: Configuration, Version: version}, nil)
						if proven && last.sequence <= sequence {
							n.disseminator.certify(Configuration, version, last.asOf)
						}
					})
				})
			}
		})
	}
	for _, n := range s.controls() {
		for at := vary(barrierPeriod); at < until; at += vary(barrierPeriod) {
			s.clock.At(at, func() {
				asOf := s.clock.Now()
				sequence := r.newestAt(asOf)
				s.clock.At(s.clock.Now()+time.Duration(s.random.Int64N(int64(barrierDelay))), func() {
					s.deliver(n, func() {
						if asOf > barriers[n].asOf {
							barriers[n] = barrier{asOf: asOf, sequence: sequence}
						}
						n.disseminator.certify(Configuration, Version{Sequence: sequence}, asOf)
					})
				})
			})
		}
	}
	return r
}

func TestProofAgeIsNeverUnderstated(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		s := newSimulation(t, seed, 40)
		s.datagramLossRate = 0.1
		s.callFailureRate = 0.05
		s.maxLatency = 800 * time.Millisecond
		const end = time.Minute
		r := s.simulateCommits(end, 700*time.Millisecond, 600*time.Millisecond, 900*time.Millisecond)
		checks := 0
		s.check = func(n *simulatedNode) {
			e := &n.disseminator.entries[Configuration]
			age := e.age(s.clock.Now())
			if age == UnknownAge {
				return
			}
			checks++
			if newest := r.newestAt(s.clock.Now() - age); e.value.Version.Sequence < newest {
				t.Errorf("%s: got version %d with a proof of age %v, but %d was the newest then", n.self.Name, e.value.Version.Sequence, age, newest)
			}
		}
		for range 20 {
			n := s.nodes[s.random.IntN(len(s.nodes))]
			from := time.Duration(s.random.Int64N(int64(end)))
			s.clock.At(from, func() { n.process.Freeze() })
			s.clock.At(from+time.Duration(s.random.Int64N(int64(10*time.Second))), func() { s.thaw(n) })
		}
		s.run(end, nil)
		if checks < 1000 {
			t.Errorf("checked proofs: got %d, want at least 1000", checks)
		}
	})
}

func TestProofAgeIsBoundedWithoutFailures(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		s := newSimulation(t, seed, 100)
		s.datagramLossRate = 0.01
		const end = time.Minute
		s.simulateCommits(end, 5*time.Second, testHeartbeat/2, 20*time.Millisecond)
		oldest := time.Duration(0)
		s.check = func(n *simulatedNode) {
			if s.clock.Now() > 12*time.Second {
				oldest = max(oldest, n.disseminator.entries[Configuration].age(s.clock.Now()))
			}
		}
		s.run(end, nil)
		if limit := 3 * testHeartbeat; oldest > limit {
			t.Errorf("age of the oldest proof: got %v, want at most %v", oldest, limit)
		}
		perHeartbeat := float64(s.digests) / float64(len(s.nodes)) / (s.clock.Now().Seconds() / testHeartbeat.Seconds())
		t.Logf("oldest proof %v, %.2f digests a heartbeat", oldest, perHeartbeat)
		if perHeartbeat > 1.5 {
			t.Errorf("digests a heartbeat: got %.2f, want at most 1.5", perHeartbeat)
		}
	})
}

func TestProofAgesWhileFrozen(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		const pause = 10 * time.Second
		s := newSimulation(t, seed, 40)
		s.simulateCommits(time.Minute, 3*time.Second, testHeartbeat/2, 20*time.Millisecond)
		n := s.nodes[len(s.nodes)-1]
		s.run(15*time.Second+time.Duration(s.random.Int64N(int64(testHeartbeat))), nil)
		n.process.Freeze()
		frozen := s.clock.Now()
		s.run(s.clock.Now()+pause, nil)
		s.check = func(checked *simulatedNode) {
			if age := n.disseminator.entries[Configuration].age(s.clock.Now()); checked == n && age < pause {
				t.Errorf("proof age after a pause of %v: got %v, want at least %v", s.clock.Now()-frozen, age, pause)
			}
		}
		s.thaw(n)
		s.check = nil
		s.run(s.clock.Now()+testHeartbeat, nil)
		if age := n.disseminator.entries[Configuration].age(s.clock.Now()); age > 2*testHeartbeat {
			t.Errorf("proof age a heartbeat after the thaw: got %v, want at most %v", age, 2*testHeartbeat)
		}
	})
}

func TestProofsWithoutControlProcessesOfTheZone(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		s := newSimulation(t, seed, 60)
		const end = 40 * time.Second
		s.simulateCommits(end, 5*time.Second, testHeartbeat/2, 20*time.Millisecond)
		s.run(15*time.Second, nil)
		for _, n := range s.controls() {
			if n.self.Zone == "zone 1" {
				n.process.Stop()
			}
		}
		const detection = 2 * time.Second
		s.clock.At(s.clock.Now()+detection, s.updateTable)
		oldest := time.Duration(0)
		s.check = func(n *simulatedNode) { oldest = max(oldest, n.disseminator.entries[Configuration].age(s.clock.Now())) }
		s.run(end, nil)
		if limit := 4 * testHeartbeat; oldest > limit {
			t.Errorf("age of the oldest proof: got %v, want at most %v", oldest, limit)
		}
		t.Log("oldest proof ", oldest)
	})
}

func TestProofIsForOneVersion(t *testing.T) {
	const now = time.Minute
	var e entry
	version := func(sequence uint64) Version { return Version{Sequence: sequence} }
	value := func(sequence uint64) Value { return Value{Version: version(sequence)} }

	e.certify(version(1), 10*time.Second)
	if e.age(now) != UnknownAge {
		t.Errorf("age without a value: got %v, want none", e.age(now))
	}
	e.store(value(1), nil)
	if age := e.age(now); age != 50*time.Second {
		t.Errorf("age of a proof that came before its value: got %v, want 50s", age)
	}
	e.certify(version(1), 5*time.Second)
	if age := e.age(now); age != 50*time.Second {
		t.Errorf("age after an older proof: got %v, want 50s", age)
	}
	e.certify(version(2), 20*time.Second)
	if age := e.age(now); age != 50*time.Second {
		t.Errorf("age after the proof for a newer version: got %v, want 50s", age)
	}
	if e.store(value(1), nil) || !e.store(value(3), nil) {
		t.Error("store: got a version stored that is not newer, or a newer one refused, want only the newer one stored")
	}
	if e.age(now) != UnknownAge {
		t.Errorf("age after the proof for another version: got %v, want none", e.age(now))
	}
	e.certify(version(2), now)
	if e.age(now) != UnknownAge {
		t.Errorf("age after a proof for an older version: got %v, want none", e.age(now))
	}
}

// After a restart of the whole system a control process may have the list of backends before it has recovered the control
// state. It must not consider itself up to date until it has the configuration.
func TestExchangesAreRetriedUntilThereIsAConfiguration(t *testing.T) {
	const now = time.Minute
	s := newSimulation(t, 1, 20)
	d := s.nodes[len(s.nodes)-1].disseminator
	d.store(now, Value{Topic: Backends, Version: Version{Sequence: 1}}, nil, false)
	d.exchangeEnded(now)
	if !d.antiEntropy.lastFailed || d.antiEntropy.due() > now+initialRetryDelay {
		t.Errorf("time to the next exchange without a configuration: got %v, want a retry", d.antiEntropy.due()-now)
	}
	d.store(now, Value{Topic: Configuration, Version: Version{Sequence: 1}}, nil, false)
	d.certify(Configuration, Version{Sequence: 1}, now)
	d.exchangeEnded(now)
	if d.antiEntropy.lastFailed || d.antiEntropy.due() <= now+initialRetryDelay {
		t.Errorf("time to the next exchange with a proven configuration: got %v, want a heartbeat", d.antiEntropy.due()-now)
	}
}

func TestFailedFetchIsRetriedWithTheAlternative(t *testing.T) {
	s := newSimulation(t, 1, 20)
	first, second, third := s.nodes[0].self.Address, s.nodes[4].self.Address, s.nodes[8]
	announced := []summary{{topic: Backends, version: Version{Sequence: 5}, age: UnknownAge}}
	d := third.disseminator
	d.receiveAnnouncement(0, first, announced)
	d.receiveAnnouncement(0, second, announced)
	out := d.Take(true)
	if len(out.fetches) != 1 || out.fetches[0].to != first {
		t.Fatalf("fetches: got %+v, want one from %v", out.fetches, first)
	}
	d.fetchFailed(time.Second, Backends)
	out = d.Take(true)
	if len(out.fetches) != 1 || out.fetches[0].to != second {
		t.Fatalf("fetches after a failure: got %+v, want one from %v", out.fetches, second)
	}
	d.fetchAnswered(time.Second, 0, &fetchAnswer{update: update{value: Value{Topic: Backends, Version: Version{Sequence: 5}}}, age: UnknownAge})
	if due := d.entries[Backends].fetchDue(); due != never {
		t.Errorf("time of the next fetch: got %v, want none", due)
	}
}

// TestProofCoversNoFormerVersion guards against the proof of a version that has just arrived vouching for the version that the
// process still uses.
func TestProofCoversNoFormerVersion(t *testing.T) {
	const now = time.Minute
	first, second, third := Version{Sequence: 1}, Version{Sequence: 2}, Version{Sequence: 3}
	var e entry
	expect := func(when string, version Version, want time.Duration) {
		t.Helper()
		if age := e.ageOf(version, now); age != want {
			t.Errorf("%s: age of the proof for version %d: got %v, want %v", when, version.Sequence, age, want)
		}
	}
	expect("without a value", first, UnknownAge)
	e.store(Value{Version: first}, nil)
	expect("before the first proof", first, UnknownAge)
	e.certify(first, now-20*time.Second)
	expect("with a proof", first, 20*time.Second)
	e.store(Value{Version: second}, nil)
	expect("after a second version without a proof", second, 20*time.Second)
	e.certify(second, now-time.Second)
	expect("after the proof of the second version", first, 20*time.Second)
	expect("after the proof of the second version", second, time.Second)
	e.store(Value{Version: third}, nil)
	e.certify(third, now)
	expect("after the proof of the third version", first, 20*time.Second)
	expect("after the proof of the third version", second, time.Second)
	expect("after the proof of the third version", third, 0)
	for sequence := uint64(4); sequence < 100; sequence++ {
		e.store(Value{Version: Version{Sequence: sequence}}, nil)
		e.certify(Version{Sequence: sequence}, now)
	}
	expect("after many versions", second, UnknownAge)
	if len(e.former) > maxFormerProofs {
		t.Errorf("proofs of former versions: got %d, want at most %d", len(e.former), maxFormerProofs)
	}
}
