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
	if err != nil {
		return err
	}
	if err := capnpcodec.CheckLength(list); err != nil {
		return err
	}
	c.Append = make([]Result, list.Len())
	for i := range c.Append {
		if err := decodeResult(list.At(i), &c.Append[i]); err != nil {
			return err
		}
	}
	return nil
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
	if err != nil {
		return err
	}
	if err := capnpcodec.CheckLength(list); err != nil {
		return err
	}
	c.Drop = make([]Key, list.Len())
	for i := range c.Drop {
		if c.Drop[i], err = DecodeKey(list.At(i)); err != nil {
			return err
		}
	}
	return nil
}

func decodeFailures(root batchwire.Command, c *Command) error {
	list, err := root.Fail()
	if err != nil {
		return err
	}
	if err := capnpcodec.CheckLength(list); err != nil {
		return err
	}
	c.Fail = make([]Failure, list.Len())
	for i := range c.Fail {
		key, err := list.At(i).Key()
		if err != nil {
			return err
		}
		if c.Fail[i].Key, err = DecodeKey(key); err != nil {
			return err
		}
		c.Fail[i].Index = list.At(i).Index()
		c.Fail[i].ServerErrors = list.At(i).ServerErrors()
	}
	return nil
}
