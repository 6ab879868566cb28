package quota

import (
	"time"

	"github.com/ansel1/merry/v2"

	"nickelline/internal/capnpcodec"
	"nickelline/internal/quota/quotawire"
)

func encodeRenewal(renewal *Renewal) ([]byte, error) {
	data, err := capnpcodec.Marshal(0, quotawire.NewRootRenewal, func(root quotawire.Renewal) error {
		root.SetGeneration(renewal.Generation)
		root.SetSequence(renewal.Sequence)
		root.SetEpoch(renewal.Epoch)
		root.SetComplete(renewal.Complete)
		root.SetLeaving(renewal.Leaving)
		return encodeEntries(root, renewal.Entries)
	})
	return data, merry.Prepend(err, "encode quota renewal")
}

func encodeEntries(root quotawire.Renewal, entries []Entry) error {
	list, err := root.NewEntries(int32(len(entries)))
	if err != nil {
		return err
	}
	for i := range entries {
		entry, encoded := &entries[i], list.At(i)
		if err := encoded.SetTenant(entry.Tenant); err != nil {
			return err
		}
		encoded.SetRate(entry.Held.Rate)
		encoded.SetDepth(entry.Held.Depth)
		encoded.SetDemand(entry.Demand)
		encoded.SetNeed(uint32(entry.Need))
		encoded.SetReturned(entry.Returned)
	}
	return nil
}

func decodeRenewal(data []byte) (*Renewal, error) {
	root, err := capnpcodec.Unmarshal(data, quotawire.ReadRootRenewal)
	if err != nil {
		return nil, merry.Prepend(err, "decode quota renewal")
	}
	entries, err := decodeEntries(root.Entries())
	if err != nil {
		return nil, merry.Prepend(err, "decode quota renewal")
	}
	return &Renewal{
		Generation: root.Generation(),
		Sequence:   root.Sequence(),
		Epoch:      root.Epoch(),
		Complete:   root.Complete(),
		Leaving:    root.Leaving(),
		Entries:    entries,
	}, nil
}

func decodeEntries(list quotawire.RenewalEntry_List, err error) ([]Entry, error) {
	if err != nil {
		return nil, err
	}
	if err := capnpcodec.CheckLength(list); err != nil {
		return nil, err
	}
	entries := make([]Entry, list.Len())
	for i := range entries {
		entry := list.At(i)
		tenant, err := entry.Tenant()
		if err != nil {
			return nil, err
		}
		entries[i] = Entry{
			Tenant: tenant,
			Held:   Share{Rate: entry.Rate(), Depth: entry.Depth()},
			Demand: entry.Demand(),
			Need:   int(entry.Need()),

			Returned: entry.Returned(),
		}
	}
	return entries, nil
}

func encodeAnswer(answer *renewalAnswer) ([]byte, error) {
	data, err := capnpcodec.Marshal(0, quotawire.NewRootAnswer, func(root quotawire.Answer) error {
		root.SetMoved(answer.moved)
		root.SetEpoch(answer.epoch)
		root.SetMustReclaim(answer.mustReclaim)
		root.SetUnsettled(answer.unsettled())
		if answer.allocator.IsValid() {
			if err := root.SetAllocator(capnpcodec.EncodeAddress(answer.allocator)); err != nil {
				return err
			}
		}
		return encodeGrants(root, answer.grants)
	})
	return data, merry.Prepend(err, "encode quota answer")
}

func encodeGrants(root quotawire.Answer, grants []Grant) error {
	list, err := root.NewEntries(int32(len(grants)))
	if err != nil {
		return err
	}
	for i, grant := range grants {
		entry := list.At(i)
		entry.SetRate(grant.Lease.Rate)
		entry.SetDepth(grant.Lease.Depth)
		entry.SetGranted(uint32(grant.Granted))
		entry.SetRetryAfterMs(uint32(grant.RetryAfter.Milliseconds()))
	}
	return nil
}

func decodeAnswer(data []byte) (*renewalAnswer, error) {
	root, err := capnpcodec.Unmarshal(data, quotawire.ReadRootAnswer)
	if err != nil {
		return nil, merry.Prepend(err, "decode quota answer")
	}
	address, err := root.Allocator()
	if err != nil {
		return nil, merry.Prepend(err, "decode quota answer")
	}
	grants, err := decodeGrants(root.Unsettled(), root.Entries)
	if err != nil {
		return nil, merry.Prepend(err, "decode quota answer")
	}
	allocator, _ := capnpcodec.DecodeAddress(address) // not valid if the allocator is not known
	return &renewalAnswer{
		moved:       root.Moved(),
		allocator:   allocator,
		epoch:       root.Epoch(),
		mustReclaim: root.MustReclaim(),
		grants:      grants,
	}, nil
}

// decodeGrants decodes the grants of an answer. The message has one unsettled flag for all grants, so each of them gets it.
func decodeGrants(unsettled bool, entries func() (quotawire.AnswerEntry_List, error)) ([]Grant, error) {
	list, err := entries()
	if err != nil {
		return nil, err
	}
	if err := capnpcodec.CheckLength(list); err != nil {
		return nil, err
	}
	grants := make([]Grant, list.Len())
	for i := range grants {
		entry := list.At(i)
		grants[i] = Grant{
			Lease:      Share{Rate: entry.Rate(), Depth: entry.Depth()},
			Granted:    int(entry.Granted()),
			RetryAfter: time.Duration(entry.RetryAfterMs()) * time.Millisecond,
			Unsettled:  unsettled,
		}
	}
	return grants, nil
}

// encodeAnnouncement encodes the announcement that the allocator of an epoch sends to proxies.
func encodeAnnouncement(epoch uint64) ([]byte, error) {
	data, err := capnpcodec.Marshal(0, quotawire.NewRootAnnouncement, func(root quotawire.Announcement) error {
		root.SetEpoch(epoch)
		return nil
	})
	return data, merry.Prepend(err, "encode quota announcement")
}

func decodeAnnouncement(data []byte) (epoch uint64, err error) {
	root, err := capnpcodec.Unmarshal(data, quotawire.ReadRootAnnouncement)
	if err != nil {
		return 0, merry.Prepend(err, "decode quota announcement")
	}
	return root.Epoch(), nil
}
