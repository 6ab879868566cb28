package batch

import (
	"nickelline/internal/batch/batchwire"
	"nickelline/internal/batch/deflated"
	"nickelline/internal/capnpcodec"
)

// minCompressBytes is the encoded size from which a submission is compressed. Compressing a smaller one is not worth the time.
const minCompressBytes = 4 << 10

// EncodeCommand returns a command as a Cap'n Proto message in a block of package deflated. A large submission is compressed,
// because the items of a job have much text in common. Other commands are not: the contents of results are blocks already.
func EncodeCommand(c *Command) ([]byte, error) {
	encoded, err := capnpcodec.Marshal(commandSize(c), batchwire.NewRootCommand, func(root batchwire.Command) error {
		root.SetClockSource(c.Clock.Source)
		root.SetClockElapsed(int64(c.Clock.Elapsed))
		return encodeChange(root, c)
	})
	if err != nil {
		return nil, err
	}
	if c.Submit != nil && len(encoded) >= minCompressBytes {
		return deflated.Compress(encoded), nil
	}
	return deflated.Wrap(encoded), nil
}

func encodeChange(root batchwire.Command, c *Command) error {
	switch {
	case c.Submit != nil:
		return encodeSubmit(root, c.Submit)
	case c.End != nil:
		key, err := root.NewEnd()
		if err != nil {
			return err
		}
		return EncodeKey(key, *c.End)
	case c.Append != nil:
		return encodeResults(root, c.Append)
	case c.Drop != nil:
		return encodeDrop(root, c.Drop)
	case c.Fail != nil:
		return encodeFailures(root, c.Fail)
	}
	root.SetTick()
	return nil
}

func encodeSubmit(root batchwire.Command, s *Submit) error {
	submit, err := root.NewSubmit()
	if err != nil {
		return err
	}
	submit.SetMaxQueuedTokens(s.MaxQueuedTokens)
	job, err := submit.NewJob()
	if err != nil {
		return err
	}
	return EncodeJob(job, &s.Job)
}

func encodeResults(root batchwire.Command, results []Result) error {
	list, err := root.NewAppend(int32(len(results)))
	if err != nil {
		return err
	}
	for i := range results {
		if err := encodeResult(list.At(i), &results[i]); err != nil {
			return err
		}
	}
	return nil
}

func encodeResult(result batchwire.Result, r *Result) error {
	key, err := result.NewKey()
	if err != nil {
		return err
	}
	if err := EncodeKey(key, r.Key); err != nil {
		return err
	}
	result.SetIndex(r.Index)
	result.SetState(batchwire.State(r.State))
	result.SetFrom(r.From)
	result.SetEvents(r.Events)
	if r.LastEvent != "" {
		if err := result.SetLastEvent(r.LastEvent); err != nil {
			return err
		}
	}
	return result.SetContent(r.Content)
}

func encodeDrop(root batchwire.Command, keys []Key) error {
	list, err := root.NewDrop(int32(len(keys)))
	if err != nil {
		return err
	}
	for i, key := range keys {
		if err := EncodeKey(list.At(i), key); err != nil {
			return err
		}
	}
	return nil
}

func encodeFailures(root batchwire.Command, failures []Failure) error {
	list, err := root.NewFail(int32(len(failures)))
	if err != nil {
		return err
	}
	for i, failure := range failures {
		key, err := list.At(i).NewKey()
		if err != nil {
			return err
		}
		if err := EncodeKey(key, failure.Key); err != nil {
			return err
		}
		list.At(i).SetIndex(failure.Index)
		list.At(i).SetServerErrors(failure.ServerErrors)
	}
	return nil
}
