package store

import "time"

// runTimeGain is the weight of a run in the mean run time of a route's items.
const runTimeGain = 0.05

// runTimes learns how long the items of each route run.
type runTimes map[string]time.Duration

// observe takes the time of a whole run.
func (t runTimes) observe(route string, took time.Duration) {
	mean, known := t[route]
	if !known {
		mean = took
	}
	t[route] = mean + time.Duration(runTimeGain*float64(took-mean))
}

// expected is how long a run is likely to take, 0 before the first one.
func (t runTimes) expected(route string) time.Duration { return t[route] }
