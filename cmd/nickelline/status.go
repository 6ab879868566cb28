package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"nickelline/internal/control/controlapi"
)

// StatusCommand shows the status of the system as seen by a control node.
type StatusCommand struct {
	nodeFlags
	JSON bool `help:"Print the status as JSON."`
}

// Run carries out the command.
func (c *StatusCommand) Run() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, stop := commandContext()
	defer stop()
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(os.Stdout, status)
	}
	return printStatus(os.Stdout, status)
}

func printStatus(output io.Writer, s *controlapi.Status) error {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "as seen by\t%s\n", s.Node)
	fmt.Fprintf(table, "configuration\tversion %d: %d routes, %d services, %d tenants\n",
		s.Configuration.Version, s.Configuration.Routes, s.Configuration.Services, s.Configuration.Tenants)
	fmt.Fprintf(table, "control chain\tepoch %d: %s; committed %d of %d\n",
		s.Chain.Epoch, strings.Join(s.Chain.Replicas, " > "), s.Chain.Committed, s.Chain.Appended)
	fmt.Fprintf(table, "\tvoters: %s; further losses borne now: %d\n", strings.Join(s.Chain.Voters, ", "), s.Chain.ToleratedLosses)
	fmt.Fprintf(table, "placement\tversion %d, %d partitions\n", s.Placement.Version, len(s.Placement.Partitions))
	for _, retirement := range s.Retirements {
		fmt.Fprintf(table, "retirement\t%s: %s\n", retirement.Node, retirement.State)
	}
	for _, disk := range s.FailingDisks {
		fmt.Fprintf(table, "failing disk\t%s: for %.1f s, %d failures, last: %s\n", disk.Node, disk.FailingSeconds, disk.Failures, disk.Error)
	}
	printPartitions(table, s.Placement.Partitions)
	printMembers(table, s.Members)
	return table.Flush()
}

func printPartitions(table io.Writer, partitions []controlapi.PartitionState) {
	if len(partitions) == 0 {
		return
	}
	fmt.Fprintf(table, "\nPARTITION\tEPOCH\tSTORES\n")
	for _, p := range partitions {
		fmt.Fprintf(table, "%d\t%d\t%s\n", p.Partition, p.Epoch, strings.Join(p.Stores, " > "))
	}
}

func printMembers(table io.Writer, members []controlapi.MemberState) {
	fmt.Fprintf(table, "\nNODE\tROLE\tZONE\tADDRESS\tSTATE\n")
	for _, m := range members {
		state := m.State
		if m.Leaving {
			state += ", leaving"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", m.Node, m.Role, m.Zone, m.Address, state)
	}
}
