package ingress

// This file defines the fingerprint of a request.

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// fingerprint identifies what a request asks for: two requests of one client account have the
// same fingerprint if their method, host, path, query, prompt and body are the same. Their IDs
// and other headers may differ. It is never zero.
func (c *call) fingerprint() uint64 {
	if c.hash != 0 {
		return c.hash
	}
	d := xxhash.New()
	add := func(field []byte) {
		// With its length in front, no field can be taken for a part of another one.
		_, _ = d.Write(binary.AppendUvarint(nil, uint64(len(field))))
		_, _ = d.Write(field)
	}
	for _, field := range []string{c.r.Method, host(c.r.Host), c.r.RequestURI, c.account} {
		add([]byte(field))
	}
	for _, part := range c.req.Prompt.Parts {
		add(binary.LittleEndian.AppendUint64(nil, part.ID))
	}
	add(c.body)
	c.hash = max(d.Sum64(), 1)
	return c.hash
}

// formatFingerprint returns a fingerprint as it is logged and listed.
func formatFingerprint(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }
