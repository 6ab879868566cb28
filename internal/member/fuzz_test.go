package member

import "testing"

// FuzzDecodeMessage checks that decoding never panics, and that each decoded record and assertion has an address and a
// known state.
func FuzzDecodeMessage(f *testing.F) {
	sample := sampleMember()
	for _, m := range []message{
		{messageType: pingMessage, sequence: 7, records: []Member{sample}},
		{messageType: indirectPingMessage, target: sample.Address, assertions: []assertion{sample.assertion()}},
	} {
		data, err := m.encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := decodeMessage(data)
		if err != nil {
			return
		}
		for _, record := range m.records {
			if checkAssertion(record.assertion()) != nil {
				t.Errorf("got invalid record %+v, want a decoding error", record)
			}
		}
		for _, c := range m.assertions {
			if checkAssertion(c) != nil {
				t.Errorf("got invalid assertion %+v, want a decoding error", c)
			}
		}
	})
}
