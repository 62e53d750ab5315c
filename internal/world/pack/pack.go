// Package pack makes large texts short before they are sent or logged.
//
// A rule file says much the same on each of its lines, and every change of it
// goes to every instance of the fleet. Packed bytes start with the two bytes of
// a gzip stream; anything else is taken as it is, so short texts stay readable.
package pack

// This file defines Codec.

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"
	"sync"

	"camphorspoke/internal/world/fault"
)

// shortest is the length in bytes below which nothing is packed.
const shortest = 1 << 10

// magic is how a gzip stream begins. No protocol buffer message and no rule file
// begins so.
var magic = []byte{0x1f, 0x8b}

var errTooLong = errors.New("it is longer than the limit")

// writers are kept for reuse: a new one allocates half a megabyte.
var writers = sync.Pool{
	New: func() any {
		w, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed) // the level is valid
		return w
	},
}

// Codec packs and unpacks. The zero value unpacks texts of any length.
type Codec struct {
	// Limit is the longest text in bytes that is unpacked; zero is no limit.
	Limit int
}

// Pack returns b packed, or b itself where packing would not make it shorter.
func (c Codec) Pack(b []byte) []byte {
	if len(b) < shortest {
		return b
	}
	w := writers.Get().(*gzip.Writer)
	defer writers.Put(w)
	var out bytes.Buffer
	w.Reset(&out)
	if _, err := w.Write(b); err != nil {
		return b // a buffer takes every write
	}
	if err := w.Close(); err != nil || out.Len() >= len(b) {
		return b
	}
	return out.Bytes()
}

// Unpack returns the text that b was packed from, and b itself if it was not
// packed. It fails with DamagedText.
func (c Codec) Unpack(b []byte) ([]byte, error) {
	if !bytes.HasPrefix(b, magic) {
		return b, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, fault.Wrap(fault.DamagedText, "packed text", err)
	}
	var source io.Reader = r
	if c.Limit > 0 {
		source = io.LimitReader(r, int64(c.Limit)+1)
	}
	out, err := io.ReadAll(source)
	if err != nil {
		return nil, fault.Wrap(fault.DamagedText, "packed text", err)
	}
	if c.Limit > 0 && len(out) > c.Limit {
		return nil, fault.Wrap(fault.DamagedText, "packed text", errTooLong)
	}
	return out, nil
}
