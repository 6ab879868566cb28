// Command simadapter hosts instances of the decision module on the simulator's wire: a batch of events a line on standard
// input, a line of actions for each on standard output.
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

// run answers each line until the input ends. Its errors name the line.
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

// instances are the decision modules by the number of their node.
type instances map[int]*decide.Module

// answer feeds the events of one line to their instances and returns the actions.
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
				reply.Actions = nil // a dead instance does nothing
			default:
				module := n[group.Node]
				if module == nil {
					return nil, fmt.Errorf("node %d, event %d: no up came before it", group.Node, i)
				}
				reply.Actions = append(reply.Actions, module.Handle(batch.Now, event.Module)...)
			}
		}
		replies = append(replies, reply)
	}
	return replies, nil
}
