package chain

import "time"

// planRandomFaults schedules random faults at random times.
func (s *simulation) planRandomFaults() {
	for range 4 + s.random.IntN(16) {
		at := s.network.Now() + time.Duration(s.random.Int64N(int64(s.duration)))
		s.network.At(at, s.injectFault)
	}
}

// faults are drawn by their index. A fault that is listed several times is drawn more often.
var faults = [...]func(s *simulation, site *site, duration time.Duration){
	0:  (*simulation).kill,
	1:  (*simulation).kill,
	2:  (*simulation).losePower,
	3:  (*simulation).losePowerOfAll,
	4:  (*simulation).killAll,
	5:  (*simulation).freeze,
	6:  (*simulation).partition,
	7:  (*simulation).partition,
	8:  (*simulation).loseDisk,
	9:  (*simulation).slowDisk,
	10: (*simulation).leave,
	11: (*simulation).losePowerAfterProposals,
	12: (*simulation).losePowerAfterProposals,
	13: (*simulation).loseDisk,
	14: (*simulation).loseDisk,
	15: (*simulation).loseDisk,
	16: (*simulation).replace,
	17: (*simulation).replace,
}

// injectFault injects a random fault of a random duration at a random site.
func (s *simulation) injectFault() {
	site := s.sites[s.random.IntN(len(s.sites))]
	duration := time.Duration(100+s.random.IntN(3000)) * time.Millisecond
	inject := faults[s.random.IntN(len(faults))]
	inject(s, site, duration)
}

func (s *simulation) kill(site *site, duration time.Duration) {
	s.logf("kill %d", site.index)
	s.restart(site, false, duration/2)
}

func (s *simulation) killAll(*site, time.Duration) {
	s.logf("kill all")
	for _, other := range s.sites {
		s.restart(other, false, time.Duration(s.random.IntN(1000))*time.Millisecond)
	}
}

func (s *simulation) losePower(site *site, duration time.Duration) {
	s.logf("power loss %d", site.index)
	s.restart(site, true, duration)
}

func (s *simulation) losePowerOfAll(*site, time.Duration) {
	s.logf("power loss of all")
	for _, other := range s.sites {
		s.restart(other, true, time.Duration(s.random.IntN(1000))*time.Millisecond)
	}
}

// losePowerAfterProposals stops a site, or all of them, while entries are being written, mostly by a loss of power.
func (s *simulation) losePowerAfterProposals(site *site, _ time.Duration) {
	s.logf("power loss right after proposals")
	for range 1 + s.random.IntN(4) {
		s.propose()
	}
	all := s.random.IntN(2) == 0
	s.after(time.Duration(s.random.IntN(30))*time.Millisecond/2, func() {
		for _, other := range s.sites {
			if all || other == site {
				s.restart(other, s.random.IntN(4) != 0, time.Duration(s.random.IntN(1000))*time.Millisecond)
			}
		}
	})
}

func (s *simulation) slowDisk(site *site, duration time.Duration) {
	site.diskDelay = duration / 20
	s.after(duration, func() { site.diskDelay = time.Millisecond })
}

// maximumFailingOneIn is the most operations of which one fails while a disk fails.
const maximumFailingOneIn = 12

// failDisk makes operations of a site's disk fail at random.
func (s *simulation) failDisk(site *site, duration time.Duration) {
	oneIn := 1 + s.random.IntN(maximumFailingOneIn)
	s.logf("one in %d operations fails on the disk of %d", oneIn, site.index)
	site.disk.FailOneIn(oneIn)
	s.after(duration, func() { site.disk.FailOneIn(0) })
}

func (s *simulation) leave(site *site, duration time.Duration) {
	s.logf("leaving %d", site.index)
	site.leaving = true
	s.after(duration, func() { site.leaving = false })
}

// after calls f after a time, unless faults have ended by then.
func (s *simulation) after(wait time.Duration, f func()) {
	s.network.At(s.network.Now()+wait, func() {
		if !s.healed {
			f()
		}
	})
}

// restart stops a site, with or without a loss of power, and starts it again after a time.
func (s *simulation) restart(site *site, powerLoss bool, downtime time.Duration) {
	if !s.network.Up(site.address) {
		return
	}
	site.stop(powerLoss)
	s.after(downtime, func() {
		if !s.network.Up(site.address) {
			site.start(false)
		}
	})
}

func (s *simulation) freeze(site *site, duration time.Duration) {
	s.logf("freeze %d", site.index)
	s.network.Freeze(site.address)
	s.after(duration, func() { s.network.Thaw(site.address) })
}

// partition drops messages between a site and some others, in one direction or both.
func (s *simulation) partition(site *site, duration time.Duration) {
	direction := s.random.IntN(3)
	for _, other := range s.sites {
		if other == site || s.random.IntN(2) == 0 {
			continue
		}
		s.logf("partition %d and %d, direction %d", site.index, other.index, direction)
		if direction != 1 {
			s.network.Partition(site.address, other.address, true)
			s.after(duration, func() { s.network.Partition(site.address, other.address, false) })
		}
		if direction != 0 {
			s.network.Partition(other.address, site.address, true)
			s.after(duration, func() { s.network.Partition(other.address, site.address, false) })
		}
	}
}
