// Package compress compresses large data with gzip before it is sent or written to
// the replicated log.
//
// Rule files are highly repetitive, and every change of one is sent to every
// instance. Compressed data is recognised by the two magic bytes of gzip; other
// data is passed through unchanged, so short texts stay readable.
package compress

// This file defines Codec.

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"
	"sync"

	"camphorspoke/internal/base/fault"
)

// minCompressLen is the length in bytes below which data is not compressed.
const minCompressLen = 1 << 10

// magic is the start of a gzip stream. No protocol buffer message and no rule
// file starts with these bytes.
var magic = []byte{0x1f, 0x8b}

var errTooLong = errors.New("decompressed data exceeds the size limit")

// writerPool reuses gzip writers, as a new one allocates half a megabyte.
var writerPool = sync.Pool{
	New: func() any {
		w, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed) // the level is valid
		return w
	},
}

// Codec compresses and decompresses data. The zero value has no size limit.
type Codec struct {
	// Limit is the maximum size of decompressed data in bytes; zero means no
	// limit.
	Limit int
}

// Compress returns b compressed, or b itself if it is short or does not get shorter.
func (c Codec) Compress(b []byte) []byte {
	if len(b) < minCompressLen {
		return b
	}
	w := writerPool.Get().(*gzip.Writer)
	defer writerPool.Put(w)
	var out bytes.Buffer
	w.Reset(&out)
	if _, err := w.Write(b); err != nil {
		return b // not reached: a bytes.Buffer accepts every write
	}
	if err := w.Close(); err != nil || out.Len() >= len(b) {
		return b
	}
	return out.Bytes()
}

// Decompress returns b decompressed, or b itself if it is not compressed. It returns
// a DamagedText fault if the data is corrupt or exceeds Limit.
func (c Codec) Decompress(b []byte) ([]byte, error) {
	if !bytes.HasPrefix(b, magic) {
		return b, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, fault.Wrap(fault.DamagedText, "compressed data", err)
	}
	var source io.Reader = r
	if c.Limit > 0 {
		source = io.LimitReader(r, int64(c.Limit)+1)
	}
	out, err := io.ReadAll(source)
	if err != nil {
		return nil, fault.Wrap(fault.DamagedText, "compressed data", err)
	}
	if c.Limit > 0 && len(out) > c.Limit {
		return nil, fault.Wrap(fault.DamagedText, "compressed data", errTooLong)
	}
	return out, nil
}
