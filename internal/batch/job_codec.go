package batch

import (
	"time"

	"nickelline/internal/batch/batchwire"
	"nickelline/internal/capnpcodec"
)

// EncodeJob encodes a job into a message.
func EncodeJob(job batchwire.Job, j *Job) error {
	key, err := job.NewKey()
	if err != nil {
		return err
	}
	if err := EncodeKey(key, j.Key); err != nil {
		return err
	}
	if err := encodeRoute(job, j.Route); err != nil {
		return err
	}
	encodeTerms(job, j.Terms)
	items, err := job.NewItems(int32(len(j.Items)))
	if err != nil {
		return err
	}
	for i := range j.Items {
		if err := encodeItem(items.At(i), &j.Items[i]); err != nil {
			return err
		}
	}
	return nil
}

// routeEncoder is a message with the fields of a RouteRef.
type routeEncoder interface {
	SetRoute(string) error
	SetHost(string) error
	SetPrefix(string) error
}

func encodeRoute(message routeEncoder, r RouteRef) error {
	if err := message.SetRoute(r.Name); err != nil {
		return err
	}
	if err := message.SetHost(r.Host); err != nil {
		return err
	}
	return message.SetPrefix(r.Prefix)
}

// termsEncoder is a message with the fields of Terms.
type termsEncoder interface {
	SetRetention(int64)
	SetMaxAttempts(uint32)
}

func encodeTerms(message termsEncoder, t Terms) {
	message.SetRetention(int64(t.Retention))
	message.SetMaxAttempts(uint32(t.MaxAttempts))
}

// EncodeKey encodes a key into a message.
func EncodeKey(key batchwire.Key, k Key) error {
	if err := key.SetTenant(k.Tenant); err != nil {
		return err
	}
	return key.SetIdentifier(k.Identifier)
}

func encodeItem(item batchwire.Item, i *Item) error {
	item.SetTokens(i.Tokens)
	if err := item.SetIdentifier(i.Identifier); err != nil {
		return err
	}
	if err := item.SetPath(i.Path); err != nil {
		return err
	}
	if err := item.SetBody(i.Body); err != nil {
		return err
	}
	headers, err := item.NewHeaders(int32(len(i.Headers)))
	if err != nil {
		return err
	}
	for n, header := range i.Headers {
		if err := headers.At(n).SetName(header.Name); err != nil {
			return err
		}
		if err := headers.At(n).SetValue(header.Value); err != nil {
			return err
		}
	}
	return nil
}

// DecodeJob decodes a job from a message. Its bodies share the memory of the message.
func DecodeJob(job batchwire.Job) (Job, error) {
	var j Job
	key, err := job.Key()
	if err != nil {
		return j, err
	}
	if j.Key, err = DecodeKey(key); err != nil {
		return j, err
	}
	if j.Route, err = decodeRoute(job); err != nil {
		return j, err
	}
	j.Terms = decodeTerms(job)
	items, err := job.Items()
	j.Items, err = capnpcodec.DecodeList(items, err, interner{}.decodeItem)
	return j, err
}

// routeDecoder is a message with the fields of a RouteRef. The prefix is empty in a message of a version that did not store it.
type routeDecoder interface {
	Route() (string, error)
	Host() (string, error)
	Prefix() (string, error)
}

func decodeRoute(message routeDecoder) (r RouteRef, err error) {
	if r.Name, err = message.Route(); err != nil {
		return r, err
	}
	if r.Host, err = message.Host(); err != nil {
		return r, err
	}
	r.Prefix, err = message.Prefix()
	return r, err
}

// termsDecoder is a message with the fields of Terms, which are 0 in a message of a version that did not store them.
type termsDecoder interface {
	Retention() int64
	MaxAttempts() uint32
}

func decodeTerms(message termsDecoder) Terms {
	return Terms{Retention: time.Duration(message.Retention()), MaxAttempts: int(message.MaxAttempts())}
}

// DecodeKey decodes a key from a message.
func DecodeKey(key batchwire.Key) (k Key, err error) {
	if k.Tenant, err = key.Tenant(); err != nil {
		return k, err
	}
	k.Identifier, err = key.Identifier()
	return k, err
}

// interner holds one copy of each string that many items of a job share, such as the names of headers.
type interner map[string]string

// intern returns the shared copy of a text, which it adds if there is none.
func (n interner) intern(text []byte) string {
	if known, ok := n[string(text)]; ok {
		return known
	}
	added := string(text)
	n[added] = added
	return added
}

// decodeItem decodes an item, and shares the names of its headers with other items that are decoded with the same interner.
func (n interner) decodeItem(item batchwire.Item, i *Item) (err error) {
	i.Tokens = item.Tokens()
	if i.Identifier, err = item.Identifier(); err != nil {
		return err
	}
	if i.Path, err = item.Path(); err != nil {
		return err
	}
	if i.Body, err = item.Body(); err != nil {
		return err
	}
	headers, err := item.Headers()
	if err != nil {
		return err
	}
	if headers.Len() == 0 {
		return nil
	}
	i.Headers, err = capnpcodec.DecodeList(headers, nil, n.decodeHeader)
	return err
}

func (n interner) decodeHeader(header batchwire.Header, h *Header) error {
	name, err := header.NameBytes()
	if err != nil {
		return err
	}
	h.Name = n.intern(name)
	h.Value, err = header.Value()
	return err
}
