package wal

// This file defines the frame around a record on disk. The integers are little
// endian:
//
//	length         uint32  size of the payload in bytes
//	header CRC     uint32  CRC-32C of the length
//	payload CRC    uint32  CRC-32C of the payload
//	payload        [length]byte

import (
	"encoding/binary"
	"hash/crc32"
)

const (
	// headerBytes is the size of a frame's header.
	headerBytes = 12
	// MaxRecord is the largest payload of a record, in bytes.
	MaxRecord = 256 << 20
)

// castagnoli is the table of CRC-32C. It is never modified.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendFrame appends the frame of payload to dst.
func appendFrame(dst, payload []byte) []byte {
	var h [headerBytes]byte
	binary.LittleEndian.PutUint32(h[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(h[4:], crc32.Checksum(h[0:4], castagnoli))
	binary.LittleEndian.PutUint32(h[8:], crc32.Checksum(payload, castagnoli))
	return append(append(dst, h[:]...), payload...)
}

// nextFrame reads the frame at the start of b. It returns the payload and the
// size of the frame including its header, or the reason why b does not start
// with a valid frame.
func nextFrame(b []byte) (payload []byte, size int, reason string) {
	if len(b) < headerBytes {
		return nil, 0, "the record header is truncated"
	}
	length := binary.LittleEndian.Uint32(b[0:])
	if crc32.Checksum(b[0:4], castagnoli) != binary.LittleEndian.Uint32(b[4:]) {
		return nil, 0, "the record header fails its checksum"
	}
	if length > MaxRecord {
		return nil, 0, "the record is larger than the limit"
	}
	if len(b)-headerBytes < int(length) {
		return nil, 0, "the record is truncated"
	}
	payload = b[headerBytes : headerBytes+int(length)]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(b[8:]) {
		return nil, 0, "the record fails its checksum"
	}
	return payload, headerBytes + int(length), ""
}

// validFrameAfter reports whether a valid frame starts anywhere in b after its
// first byte. If so, the invalid frame at the start of b is corrupted and not a
// torn write, since nothing is written after a torn write. Frames with an empty
// payload do not count.
func validFrameAfter(b []byte) bool {
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
