package chain

import "time"

// planRandomFaults draws when which faults come.
func (s *simulation) planRandomFaults() {
	for range 4 + s.random.IntN(16) {
		at := s.network.Now() + time.Duration(s.random.Int64N(int64(s.duration)))
		s.network.At(at, s.injectFault)
	}
}

// faultKinds is the number of kinds of faults.
const faultKinds = 18

func (s *simulation) injectFault() {
	site := s.sites[s.random.IntN(len(s.sites))]
	duration := time.Duration(100+s.random.IntN(3000)) * time.Millisecond
	switch s.random.IntN(faultKinds) {
	case 0, 1:
		s.logf("kill %d", site.index)
		s.end(site, false, duration/2)
	case 2:
		s.logf("power loss %d", site.index)
		s.end(site, true, duration)
	case 3:
		s.logf("power loss of all")
		for _, other := range s.sites {
			s.end(other, true, time.Duration(s.random.IntN(1000))*time.Millisecond)
		}
	case 4:
		s.logf("kill all")
		for _, other := range s.sites {
			s.end(other, false, time.Duration(s.random.IntN(1000))*time.Millisecond)
		}
	case 5:
		s.freeze(site, duration)
	case 6, 7:
		s.partition(site, duration)
	case 8, 13, 14, 15:
		s.loseDisk(site, duration)
	case 9:
		site.diskDelay = duration / 20
		s.after(duration, func() { site.diskDelay = time.Millisecond })
	case 11, 12:
		s.logf("power loss right after proposals")
		for range 1 + s.random.IntN(4) {
			s.propose()
		}
		all := s.random.IntN(2) == 0
		s.after(time.Duration(s.random.IntN(30))*time.Millisecond/2, func() {
			for _, other := range s.sites {
				if all || other == site {
					s.end(other, s.random.IntN(4) != 0, time.Duration(s.random.IntN(1000))*time.Millisecond)
				}
			}
		})
	case 10:
		s.logf("leaving %d", site.index)
		site.leaving = true
		s.after(duration, func() { site.leaving = false })
	case 16, 17:
		s.replace(site, duration)
	}
}

// after does something later, unless faults have ended before.
func (s *simulation) after(wait time.Duration, f func()) {
	s.network.At(s.network.Now()+wait, func() {
		if !s.healed {
			f()
		}
	})
}

func (s *simulation) end(site *site, power bool, back time.Duration) {
	if !s.network.Up(site.address) {
		return
	}
	site.end(power)
	s.after(back, func() {
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

// partition loses messages between a site and some others, in one direction or both.
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
