// Package rendezvous ranks servers by weighted rendezvous hashing.
//
// Each pair of chat and server is hashed to a score. The server with the
// highest score is the preferred server of the chat. When a server joins or
// leaves, only the chats for which it has the highest score get another preferred
// server, and no state is stored for any chat.
package rendezvous

// This file defines Picker.

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"camphorspoke/internal/routing"
)

// Picker ranks servers by their rendezvous score. The zero value is ready to
// use.
type Picker struct{}

var _ routing.Picker = Picker{}

// scored is a server with its score for one chat.
type scored struct {
	name  string
	score float64
}

// Order returns the names of the servers, highest score first.
func (Picker) Order(chat string, servers []routing.Server) []string {
	ss := make([]scored, len(servers))
	for i, s := range servers {
		ss[i] = scored{
			name:  s.Name,
			score: score(chat, s),
		}
	}
	slices.SortFunc(ss, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	out := make([]string, len(ss))
	for i, s := range ss {
		out[i] = s.name
	}
	return out
}

// score returns the weighted rendezvous score w / -ln(u), where the hash u of
// chat and server is uniform in (0, 1).
func score(chat string, s routing.Server) float64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(chat)
	d.WriteString("\x00")
	d.WriteString(s.Name)
	u := (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
	w := s.Weight
	if w <= 0 {
		w = 1
	}
	return w / -math.Log(u)
}
