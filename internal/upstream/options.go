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

// Errors of Acquire that are not those of dialing.
var (
	// ErrTooManyConnections means that the limit of the pool is reached: the caller lacks connections, the backend does not.
	ErrTooManyConnections = errors.New("too many connections")
	// ErrClosed means that the backend is no longer ready, or that another has its address.
	ErrClosed = errors.New("the backend drains or is gone")
)

// Options set the limits of a Pool. The zero value of each field but MaxConnections stands for its default.
type Options struct {
	// MaxConnections is the greatest number of connections at one time, those being dialed included.
	MaxConnections int
	// MaxIdle is how long a connection may be idle before it is closed; a minute by default.
	MaxIdle time.Duration
	// MinIdle is how long a connection must have been idle to be used again; none by default. A longer one lets surplus
	// bytes of the last answer come before the next request, and costs connections.
	MinIdle time.Duration
	// SweepInterval is the time between two inspections of the idle connections; a second by default. Each connection
	// costs a system call.
	SweepInterval time.Duration
	// DialTimeout bounds the dialing of a connection; only the caller's deadline by default.
	DialTimeout time.Duration
	// UserTimeout is TCP_USER_TIMEOUT of new connections; the system's by default.
	UserTimeout time.Duration
	// Dial makes connections; TCP by default.
	Dial DialFunc
	// Counters, if set, are counted into.
	Counters *Counters
}

// withDefaults returns the options with defaults in place of zero values.
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

// Counters count what the pool does, for logs.
type Counters struct {
	Dialled    atomic.Int64 // dials that were begun
	DialFailed atomic.Int64 // dials that failed
	Retired    atomic.Int64 // idle connections that were found unfit for use
}
