// Package rendezvous chooses the node that is responsible for a key by rendezvous hashing
// (highest random weight), so that all routers with the same list of nodes choose the same
// one without communication.
//
// When a node leaves, only its own keys move, and they are spread over the remaining nodes.
// With a hash modulo the number of nodes, nearly every key would move at each change, and
// every dispatcher and keeper would lose its state. Two routers whose lists differ may
// choose differently; callers must tolerate that until the lists agree.
package rendezvous

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Key is the hash of an object that a node is chosen for.
type Key uint64

// KeyOf returns the key of id within a domain. Domains separate IDs of different kinds, so
// that equal IDs of several kinds don't all go to the same node.
func KeyOf(domain, id string) Key {
	digest := xxhash.New()
	_, _ = digest.WriteString(domain)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(id)
	return Key(digest.Sum64())
}

// KeyOfNumber returns the key of a number within a domain.
func KeyOfNumber(domain string, number uint64) Key {
	var buffer [8]byte
	binary.BigEndian.PutUint64(buffer[:], number)
	return KeyOf(domain, string(buffer[:]))
}

// Pick returns the node responsible for key. The result does not depend on the order of
// nodes, and is empty when there are none.
func Pick[N ~string](key Key, nodes []N) N {
	var best N
	var bestScore uint64
	for i, node := range nodes {
		score := Score(key, node)
		if i == 0 || score > bestScore || (score == bestScore && node < best) {
			best, bestScore = node, score
		}
	}
	return best
}

// Rank returns a copy of nodes in order of preference for key: first the one that Pick
// returns, then the one that Pick would return without it, and so on.
func Rank[N ~string](key Key, nodes []N) []N {
	type scored struct {
		node  N
		score uint64
	}
	nodesByScore := make([]scored, len(nodes))
	for i, node := range nodes {
		nodesByScore[i] = scored{node, Score(key, node)}
	}
	slices.SortFunc(nodesByScore, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		}
		return strings.Compare(string(a.node), string(b.node))
	})
	ranked := make([]N, len(nodesByScore))
	for i, n := range nodesByScore {
		ranked[i] = n.node
	}
	return ranked
}

// Score returns the weight of node for key; the highest is chosen.
func Score[N ~string](key Key, node N) uint64 {
	return mix(uint64(key) ^ mix(xxhash.Sum64String(string(node))))
}

// mix makes each output bit depend on every input bit, with the constants of the
// MurmurHash3 finalizer.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
