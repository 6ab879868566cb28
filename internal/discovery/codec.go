package discovery

import (
	"encoding/binary"
	"math"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"

	"nickelline/internal/capnpcodec"
	"nickelline/internal/discovery/discoverywire"
)

// Encode returns the encoded list, a Cap'n Proto message.
func Encode(l *List) ([]byte, error) {
	data, err := capnpcodec.Marshal(0, discoverywire.NewRootReading, func(message discoverywire.Reading) error {
		message.SetPages(uint16(min(l.pages, math.MaxUint16)))
		return encodeList(message, l.backends)
	})
	return data, merry.Prepend(err, "encode list of backends")
}

func encodeList(message discoverywire.Reading, backends []Backend) error {
	names := newNameTable(backends)
	if err := encodeNames(message, names.texts); err != nil {
		return err
	}
	entries, err := message.NewBackends(int32(len(backends)))
	if err != nil {
		return err
	}
	for i := range backends {
		if err := encodeBackend(entries.At(i), &backends[i], names); err != nil {
			return err
		}
	}
	return nil
}

// nameTable assigns indexes to the names that many backends share, so that each name is encoded once.
type nameTable struct {
	numbers map[string]uint32
	texts   []string
}

func newNameTable(backends []Backend) *nameTable {
	t := &nameTable{numbers: make(map[string]uint32)}
	for i := range backends {
		t.add(backends[i].Service)
		t.add(backends[i].Zone)
		t.add(backends[i].Version)
	}
	return t
}

func (t *nameTable) add(name string) {
	if _, ok := t.numbers[name]; ok {
		return
	}
	t.numbers[name] = uint32(len(t.texts))
	t.texts = append(t.texts, name)
}

func encodeNames(message discoverywire.Reading, texts []string) error {
	list, err := message.NewNames(int32(len(texts)))
	if err != nil {
		return err
	}
	for i, text := range texts {
		if err := list.Set(i, text); err != nil {
			return err
		}
	}
	return nil
}

func encodeBackend(entry discoverywire.Backend, b *Backend, names *nameTable) error {
	if err := entry.SetId(b.ID); err != nil {
		return err
	}
	entry.SetService(names.numbers[b.Service])
	entry.SetZone(names.numbers[b.Zone])
	entry.SetVersion(names.numbers[b.Version])
	address := b.Address.Addr().As4()
	entry.SetAddress(binary.BigEndian.Uint32(address[:]))
	entry.SetPort(b.Address.Port())
	entry.SetDraining(b.Draining)
	entry.SetSlots(uint32(max(0, b.Slots)))
	entry.SetColdMs(uint32(max(0, b.ColdRemaining.Milliseconds())))
	return nil
}

// Decode decodes a list that Encode has encoded.
func Decode(data []byte) (*List, error) {
	message, err := capnpcodec.Unmarshal(data, discoverywire.ReadRootReading)
	if err != nil {
		return nil, merry.Prepend(err, "decode list of backends")
	}
	backends, err := decodeList(message)
	if err != nil {
		return nil, merry.Prepend(err, "decode list of backends")
	}
	list := NewList(backends)
	list.pages = int(message.Pages())
	return list, nil
}

// pageCount returns the number of calls of the poll that produced an encoded list, 0 if unknown.
func pageCount(data []byte) int {
	message, err := capnpcodec.Unmarshal(data, discoverywire.ReadRootReading)
	if err != nil {
		return 0
	}
	return int(message.Pages())
}

func decodeList(message discoverywire.Reading) ([]Backend, error) {
	names, err := decodeNames(message)
	if err != nil {
		return nil, err
	}
	entries, err := message.Backends()
	if err != nil {
		return nil, err
	}
	if err := capnpcodec.CheckLength(entries); err != nil {
		return nil, err
	}
	backends := make([]Backend, entries.Len())
	for i := range backends {
		if backends[i], err = decodeBackend(entries.At(i), names); err != nil {
			return nil, err
		}
	}
	return backends, nil
}

func decodeNames(message discoverywire.Reading) ([]string, error) {
	list, err := message.Names()
	if err != nil {
		return nil, err
	}
	if err := capnpcodec.CheckLength(list); err != nil {
		return nil, err
	}
	names := make([]string, list.Len())
	for i := range names {
		if names[i], err = list.At(i); err != nil {
			return nil, err
		}
	}
	return names, nil
}

func decodeBackend(entry discoverywire.Backend, names []string) (Backend, error) {
	id, err := entry.Id()
	if err != nil {
		return Backend{}, err
	}
	for _, number := range []uint32{entry.Service(), entry.Zone(), entry.Version()} {
		if uint64(number) >= uint64(len(names)) {
			return Backend{}, merry.Errorf("backend %q refers to name index %d of %d names", id, number, len(names))
		}
	}
	var address [4]byte
	binary.BigEndian.PutUint32(address[:], entry.Address())
	return Backend{
		ID:            id,
		Service:       names[entry.Service()],
		Address:       netip.AddrPortFrom(netip.AddrFrom4(address), entry.Port()),
		Zone:          names[entry.Zone()],
		Version:       names[entry.Version()],
		Slots:         int(entry.Slots()),
		Draining:      entry.Draining(),
		ColdRemaining: time.Duration(entry.ColdMs()) * time.Millisecond,
	}, nil
}
