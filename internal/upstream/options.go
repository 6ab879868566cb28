package upstream

import (
	"errors"
	"sync/atomic"
	"time"
)

const (
	defaultMaxIdle       = time.Minute
	defaultSweepInterval = time.Second
)

// Errors of Acquire, other than those of its context and of dialing.
var (
	// ErrTooManyConnections means that a limit of the pool is reached. It says nothing about the state of the backend.
	ErrTooManyConnections = errors.New("too many connections")
	// ErrClosed means that the backend is no longer ready, or that another backend has taken over its address.
	ErrClosed = errors.New("backend is draining or was removed")
)

// Options configures a Pool. The zero value of each field except MaxConnections stands for its default.
type Options struct {
	// MaxConnections is the greatest number of connections at one time, including those being dialed.
	MaxConnections int
	// MaxIdle is how long a connection may be idle before it is closed; one minute by default.
	MaxIdle time.Duration
	// MinIdle is how long a connection must have been idle before it is used again; 0 by default. During this time surplus
	// bytes after the last response arrive and are noticed. The cost is a greater number of connections.
	MinIdle time.Duration
	// SweepInterval is the time between two inspections of all idle connections; one second by default. An inspection costs
	// one system call per connection.
	SweepInterval time.Duration
	// DialTimeout bounds the dialing of a connection. By default only the caller's deadline does.
	DialTimeout time.Duration
	// UserTimeout is TCP_USER_TIMEOUT of new connections. By default it is not set, and the value of the system applies.
	UserTimeout time.Duration
	// Dial makes connections. By default they are TCP connections, with DialTimeout and UserTimeout.
	Dial DialFunc
	// Counters, if set, receives the counts of the pool.
	Counters *Counters
}

// withDefaults returns the options with zero values replaced by their defaults.
func (o Options) withDefaults() Options {
	if o.MaxIdle <= 0 {
		o.MaxIdle = defaultMaxIdle
	}
	if o.SweepInterval <= 0 {
		o.SweepInterval = defaultSweepInterval
	}
	if o.Dial == nil {
		o.Dial = dialTCP(o.DialTimeout, o.UserTimeout)
	}
	if o.Counters == nil {
		o.Counters = &Counters{}
	}
	return o
}

// Counters holds counts of what the pool does, for logs.
type Counters struct {
	Dialed     atomic.Int64 // dials that were started
	DialFailed atomic.Int64 // dials that failed
	Retired    atomic.Int64 // idle connections that were closed as no longer usable
}
