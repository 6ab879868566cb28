package batch

// The functions in this file return upper bounds of the size of messages in bytes, so that one segment of Cap'n Proto holds the
// whole message. The constants are upper bounds of the size of each kind of object.
const (
	messageBytes = 128 // of a message, its root pointer and root struct
	structBytes  = 64  // of any other struct
	pointerBytes = 16  // of a list of structs without its elements
	wordBytes    = 8   // of the padding to words, including the terminator of a text
)

func textSize(text string) int { return len(text) + wordBytes }

// routeSize returns an upper bound of the bytes of the fields of a RouteRef in a message.
func routeSize(r RouteRef) int { return textSize(r.Name) + textSize(r.Host) + textSize(r.Prefix) }

func dataSize(data []byte) int { return len(data) + wordBytes }

// KeySize returns an upper bound of the bytes of a key in a message.
func KeySize(k Key) int { return structBytes + textSize(k.Tenant) + textSize(k.Identifier) }

// JobSize returns an upper bound of the bytes of a job in a message.
func JobSize(j *Job) int {
	size := structBytes + KeySize(j.Key) + routeSize(j.Route) + pointerBytes
	for i := range j.Items {
		size += itemSize(&j.Items[i])
	}
	return size
}

func itemSize(i *Item) int {
	size := structBytes + textSize(i.Identifier) + textSize(i.Path) + dataSize(i.Body) + pointerBytes
	for _, header := range i.Headers {
		size += structBytes + textSize(header.Name) + textSize(header.Value)
	}
	return size
}

// ListedResultSize returns an upper bound of the bytes of a listed result in a message.
func ListedResultSize(l *ListedResult) int {
	return structBytes + textSize(l.Identifier) + dataSize(l.Content)
}

func commandSize(c *Command) int {
	size := messageBytes + pointerBytes
	if c.Submit != nil {
		size += structBytes + JobSize(&c.Submit.Job)
	}
	if c.End != nil {
		size += KeySize(*c.End)
	}
	for i := range c.Append {
		size += structBytes + KeySize(c.Append[i].Key) + dataSize(c.Append[i].Content) + textSize(c.Append[i].LastEvent)
	}
	for _, key := range c.Drop {
		size += KeySize(key)
	}
	for i := range c.Fail {
		size += structBytes + KeySize(c.Fail[i].Key)
	}
	return size
}

func jobStateSize(j *job) int {
	size := messageBytes + KeySize(j.key) + routeSize(j.route) + 2*pointerBytes + 4*len(j.positions)
	for i := range j.items {
		size += structBytes + itemSize(&j.items[i].Item) + dataSize(j.items[i].content)
		size += checkpointsSize(j.items[i].checkpoints)
	}
	return size
}

func checkpointsSize(c checkpoints) int {
	size := pointerBytes
	for i := range c {
		size += structBytes + textSize(c[i].lastEvent) + dataSize(c[i].content)
	}
	return size
}

func largestJobState(jobs []*job) int {
	largest := 0
	for _, j := range jobs {
		largest = max(largest, jobStateSize(j))
	}
	return largest
}

func snapshotSize(jobs []*job) int {
	size := messageBytes + frameLengthSize
	for _, j := range jobs {
		size += jobStateSize(j) + frameLengthSize
	}
	return size
}
