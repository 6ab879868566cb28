package batch

import (
	"time"

	"nickelline/internal/batch/batchwire"
	"nickelline/internal/batch/deflated"
	"nickelline/internal/capnpcodec"
)

// DecodeCommand decodes a command. Its bodies and contents may share the memory of the block.
func DecodeCommand(block []byte) (*Command, error) {
	encoded, err := deflated.Expand(block)
	if err != nil {
		return nil, err
	}
	root, err := capnpcodec.Unmarshal(encoded, batchwire.ReadRootCommand)
	if err != nil {
		return nil, err
	}
	c := &Command{Clock: ClockReading{Source: root.ClockSource(), Elapsed: time.Duration(root.ClockElapsed())}}
	return c, decodeChange(root, c)
}

func decodeChange(root batchwire.Command, c *Command) error {
	switch root.Which() {
	case batchwire.Command_Which_tick:
		return nil
	case batchwire.Command_Which_submit:
		return decodeSubmit(root, c)
	case batchwire.Command_Which_append:
		return decodeResults(root, c)
	case batchwire.Command_Which_end:
		return decodeEnd(root, c)
	case batchwire.Command_Which_drop:
		return decodeDrop(root, c)
	case batchwire.Command_Which_fail:
		return decodeFailures(root, c)
	}
	return nil
}

func decodeSubmit(root batchwire.Command, c *Command) error {
	submit, err := root.Submit()
	if err != nil {
		return err
	}
	encoded, err := submit.Job()
	if err != nil {
		return err
	}
	job, err := DecodeJob(encoded)
	if err != nil {
		return err
	}
	c.Submit = &Submit{Job: job, MaxQueuedTokens: submit.MaxQueuedTokens()}
	return nil
}

func decodeResults(root batchwire.Command, c *Command) error {
	list, err := root.Append()
	c.Append, err = capnpcodec.DecodeList(list, err, decodeResult)
	return err
}

func decodeResult(result batchwire.Result, r *Result) error {
	key, err := result.Key()
	if err != nil {
		return err
	}
	if r.Key, err = DecodeKey(key); err != nil {
		return err
	}
	r.Index = result.Index()
	r.State = State(result.State())
	r.From = result.From()
	r.Events = result.Events()
	if r.LastEvent, err = result.LastEvent(); err != nil {
		return err
	}
	r.Content, err = result.Content()
	return err
}

func decodeEnd(root batchwire.Command, c *Command) error {
	key, err := root.End()
	if err != nil {
		return err
	}
	ended, err := DecodeKey(key)
	c.End = &ended
	return err
}

func decodeDrop(root batchwire.Command, c *Command) error {
	list, err := root.Drop()
	c.Drop, err = capnpcodec.DecodeList(list, err, func(key batchwire.Key, k *Key) (err error) {
		*k, err = DecodeKey(key)
		return err
	})
	return err
}

func decodeFailures(root batchwire.Command, c *Command) error {
	list, err := root.Fail()
	c.Fail, err = capnpcodec.DecodeList(list, err, decodeFailure)
	return err
}

func decodeFailure(failure batchwire.Failure, f *Failure) error {
	key, err := failure.Key()
	if err != nil {
		return err
	}
	f.Key, err = DecodeKey(key)
	f.Index = failure.Index()
	f.ServerErrors = failure.ServerErrors()
	return err
}
