package segment

const (
	defaultSegmentSize = 4 << 20
	defaultBufferSize  = 256 << 10
)

// Options are the sizes of a log in bytes. Zero values select the defaults.
type Options struct {
	// SegmentSize is the size from which a segment is followed by a new one. Larger segments are removed later, smaller ones
	// cost a file and a sync of the directory each. The default is 4 MiB.
	SegmentSize int
	// BufferSize is the number of appended bytes that are buffered before Append writes them without waiting for a Sync. The
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
