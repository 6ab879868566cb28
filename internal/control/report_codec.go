package control

import (
	"time"

	"nickelline/internal/capnpcodec"
	"nickelline/internal/control/controlwire"
)

// encodeReport returns a report as a Cap'n Proto message. forwarded marks it as forwarded by a control node.
func encodeReport(report Report, forwarded bool) ([]byte, error) {
	return capnpcodec.Marshal(0, controlwire.NewRootReport, func(root controlwire.Report) error {
		root.SetForwarded(forwarded)
		root.SetImpaired(report.Impaired)
		store, err := root.NewStore()
		if err != nil {
			return err
		}
		if err := fillStore(store, report.Store); err != nil {
			return err
		}
		if err := fillDiskTrouble(root, report.DiskTrouble); err != nil {
			return err
		}
		return fillChains(root, report.Chains)
	})
}

func fillDiskTrouble(root controlwire.Report, trouble *DiskTrouble) error {
	if trouble == nil {
		return nil
	}
	element, err := root.NewDiskTrouble()
	if err != nil {
		return err
	}
	element.SetMilliseconds(uint64(trouble.For.Milliseconds()))
	element.SetFailures(trouble.Failures)
	return element.SetError(trouble.Error)
}

func fillChains(root controlwire.Report, chains []ChainStatus) error {
	list, err := root.NewChains(int32(len(chains)))
	if err != nil {
		return err
	}
	for i, status := range chains {
		element := list.At(i)
		element.SetChain(status.Chain)
		element.SetEpoch(status.Epoch)
		element.SetComplete(status.Complete)
		element.SetCaughtUp(status.CaughtUp)
		element.SetRunning(status.Running)
	}
	return nil
}

// decodeReport reads a report that encodeReport wrote.
func decodeReport(encoded []byte) (report Report, forwarded bool, err error) {
	root, err := capnpcodec.Unmarshal(encoded, controlwire.ReadRootReport)
	if err != nil {
		return Report{}, false, err
	}
	store, err := root.Store()
	if err != nil {
		return Report{}, false, err
	}
	if report.Store, err = readStore(store); err != nil {
		return Report{}, false, err
	}
	report.Impaired = root.Impaired()
	if report.DiskTrouble, err = readDiskTrouble(root); err != nil {
		return Report{}, false, err
	}
	if report.Chains, err = readChains(root); err != nil {
		return Report{}, false, err
	}
	return report, root.Forwarded(), nil
}

func readDiskTrouble(root controlwire.Report) (*DiskTrouble, error) {
	if !root.HasDiskTrouble() {
		return nil, nil
	}
	element, err := root.DiskTrouble()
	if err != nil {
		return nil, err
	}
	text, err := element.Error()
	if err != nil {
		return nil, err
	}
	return &DiskTrouble{
		For:      time.Duration(element.Milliseconds()) * time.Millisecond,
		Failures: element.Failures(),
		Error:    text,
	}, nil
}

func readChains(root controlwire.Report) ([]ChainStatus, error) {
	list, err := root.Chains()
	if err != nil {
		return nil, err
	}
	if err := capnpcodec.CheckLength(list); err != nil {
		return nil, err
	}
	var chains []ChainStatus
	for i := range list.Len() {
		element := list.At(i)
		chains = append(chains, ChainStatus{
			Chain:    element.Chain(),
			Epoch:    element.Epoch(),
			Complete: element.Complete(),
			CaughtUp: element.CaughtUp(),
			Running:  element.Running(),
		})
	}
	return chains, nil
}
