// Command simadapter runs instances of the decision module for the simulator. It reads one batch of events per line from
// standard input, and writes one line of actions for each batch to standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"nickelline/decide"
	"nickelline/internal/wire"
)

const bufferSize = 1 << 20 // bytes

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run answers each line until the input ends. Errors of reading, decoding and handling a line name its number.
func run(in io.Reader, out io.Writer) error {
	reader, writer := bufio.NewReaderSize(in, bufferSize), bufio.NewWriterSize(out, bufferSize)
	nodes := instances{}
	var reply []byte
	for number := 1; ; number++ {
		line, err := reader.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(line) == 0 {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: %w", number, err)
		}
		replies, err := nodes.answer(line)
		if err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
		reply = wire.AppendReply(reply[:0], replies)
		if _, err := writer.Write(reply); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return err
		}
	}
}

// instances holds the decision modules by node number.
type instances map[int]*decide.Module

// answer passes the events of one line to their instances, and returns the actions in the order of the groups.
func (n instances) answer(line []byte) ([]wire.Reply, error) {
	batch, err := wire.DecodeBatch(line)
	if err != nil {
		return nil, err
	}
	var replies []wire.Reply
	for _, group := range batch.Groups {
		reply := wire.Reply{Node: group.Node}
		for i, event := range group.Events {
			switch {
			case event.Start != nil:
				n[group.Node] = decide.New(event.Start.Settings, event.Start.Seed)
			case event.Retire:
				delete(n, group.Node)
				reply.Actions = nil // nothing carries out the actions of an ended instance
			default:
				module := n[group.Node]
				if module == nil {
					return nil, fmt.Errorf("node %d, event %d: the instance was not started by an up event", group.Node, i)
				}
				reply.Actions = append(reply.Actions, module.Handle(batch.Now, event.Module)...)
			}
		}
		replies = append(replies, reply)
	}
	return replies, nil
}
