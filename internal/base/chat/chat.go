// Package chat defines and validates the identifier of a chat.
package chat

// This file defines ID and its syntax.

import "camphorspoke/internal/base/fault"

// MaxLength is the longest chat identifier, in bytes.
const MaxLength = 128

// ID identifies a chat: 1 to MaxLength letters, digits, '-', '_', '.' or ':'.
type ID string

// Parse returns s as an ID, or a BadChat fault if it is invalid.
func Parse(s string) (ID, error) {
	if s == "" || len(s) > MaxLength {
		return "", fault.New(fault.BadChat, s, "use 1 to 128 letters, digits, '-', '_', '.' or ':'")
	}
	for i := range len(s) {
		if !allowed(s[i]) {
			return "", fault.New(fault.BadChat, s, "use only letters, digits, '-', '_', '.' and ':'")
		}
	}
	return ID(s), nil
}

func allowed(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return c == '-' || c == '_' || c == '.' || c == ':'
}
