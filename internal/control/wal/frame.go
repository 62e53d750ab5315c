package wal

// This file defines the frame of a record:
//
//	length   uint32  little endian, of the payload
//	header   uint32  CRC-32C of the length
//	payload  uint32  CRC-32C of the payload
//	bytes    [length]byte

import (
	"encoding/binary"
	"hash/crc32"
)

const (
	headerBytes = 12
	// MaxRecord is the largest payload of a record, in bytes.
	MaxRecord = 256 << 20
)

// castagnoli is read-only once made.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func appendFrame(dst, payload []byte) []byte {
	var h [headerBytes]byte
	binary.LittleEndian.PutUint32(h[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(h[4:], crc32.Checksum(h[0:4], castagnoli))
	binary.LittleEndian.PutUint32(h[8:], crc32.Checksum(payload, castagnoli))
	return append(append(dst, h[:]...), payload...)
}

// nextFrame reads the frame at the start of b. It returns the payload and the
// size of the whole frame, or the reason why there is no whole frame.
func nextFrame(b []byte) (payload []byte, size int, reason string) {
	if len(b) < headerBytes {
		return nil, 0, "the record header is cut short"
	}
	length := binary.LittleEndian.Uint32(b[0:])
	if crc32.Checksum(b[0:4], castagnoli) != binary.LittleEndian.Uint32(b[4:]) {
		return nil, 0, "the record header fails its checksum"
	}
	if length > MaxRecord {
		return nil, 0, "the record is larger than the limit"
	}
	if len(b)-headerBytes < int(length) {
		return nil, 0, "the record is cut short"
	}
	payload = b[headerBytes : headerBytes+int(length)]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(b[8:]) {
		return nil, 0, "the record fails its checksum"
	}
	return payload, headerBytes + int(length), ""
}

// wholeFrameAfter reports whether a whole frame starts anywhere in b after
// its first byte: then what stands at its start is damage, not a torn tail.
func wholeFrameAfter(b []byte) bool {
	for i := 1; i+headerBytes <= len(b); i++ {
		if binary.LittleEndian.Uint32(b[i:]) == 0 {
			continue
		}
		if _, _, reason := nextFrame(b[i:]); reason == "" {
			return true
		}
	}
	return false
}
