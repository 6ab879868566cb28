package segment

const (
	defaultSegmentSize = 4 << 20
	defaultBufferSize  = 256 << 10
)

// Options are the sizes of a log in bytes. Zero values select the defaults.
type Options struct {
	// SegmentSize is the size at which a segment is full and the log begins a new one. Larger segments can be removed only
	// later; smaller segments mean more files, each with a sync of the directory. The default is 4 MiB.
	SegmentSize int
	// BufferSize is the number of buffered bytes from which Append writes them to the segment without waiting for a Sync. The
	// default is 256 KiB.
	BufferSize int
}

func (o Options) withDefaults() Options {
	if o.SegmentSize <= 0 {
		o.SegmentSize = defaultSegmentSize
	}
	if o.BufferSize <= 0 {
		o.BufferSize = defaultBufferSize
	}
	return o
}
