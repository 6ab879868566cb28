package batch

// The functions here bound from above what parts of a message take, so that one segment of that size holds the message.
const (
	messageBytes = 128 // of a message, its root pointer and root struct
	structBytes  = 64  // of any other struct
	pointerBytes = 16  // of a list of structs, beside its elements
	wordBytes    = 8   // what padding to words adds at most, the end of a text included
)

func textSize(text string) int { return len(text) + wordBytes }

func dataSize(data []byte) int { return len(data) + wordBytes }

// KeySize is the most that a key takes in a message.
func KeySize(k Key) int { return structBytes + textSize(k.Tenant) + textSize(k.Identifier) }

// JobSize is the most that a job takes in a message.
func JobSize(j *Job) int {
	size := structBytes + KeySize(j.Key) + textSize(j.Route) + textSize(j.Host) + pointerBytes
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

// ListedSize is the most that a result takes in an answer.
func ListedSize(l *ListedResult) int {
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
	return size
}

func jobStateSize(j *job) int {
	size := messageBytes + KeySize(j.key) + textSize(j.route) + textSize(j.host) + 2*pointerBytes + 4*len(j.positions)
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
	for _, one := range jobs {
		largest = max(largest, jobStateSize(one))
	}
	return largest
}

func snapshotSize(jobs []*job) int {
	size := messageBytes + frameHead
	for _, one := range jobs {
		size += jobStateSize(one) + frameHead
	}
	return size
}
