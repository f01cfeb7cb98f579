package settings

import (
	"encoding/binary"
	"maps"
)

const keyShardCount = 1024

// keyIndex finds the customer of a key by the first 8 bytes of the key's hash. Indexes share unchanged shards, so a change of
// one customer copies 0.1% of the index. The index includes withdrawn keys so that a hash is never granted twice.
type keyIndex struct {
	shards [keyShardCount]map[uint64]string
}

// keyCollision records that two keys have the same hash prefix. It holds the ids of their customers in ascending order, which
// are equal if both keys belong to one customer.
type keyCollision struct{ first, second string }

func prefixOf(hash *KeyHash) uint64 { return binary.LittleEndian.Uint64(hash[:]) }

func newKeyIndex(customers map[string]*CustomerSpec) (*keyIndex, []keyCollision) {
	e := keyIndexEdit{index: new(keyIndex)}
	for id, customer := range customers {
		e.add(id, customer)
	}
	return e.index, e.collisions
}

// withChanges returns an index with the keys of the changed customers replaced. changed holds the customers as they were,
// customers as they are now.
func (x *keyIndex) withChanges(changed, customers map[string]*CustomerSpec) (*keyIndex, []keyCollision) {
	updated := *x
	e := keyIndexEdit{index: &updated, shared: true}
	for _, customer := range changed {
		e.remove(customer)
	}
	for id := range changed {
		e.add(id, customers[id])
	}
	return e.index, e.collisions
}

// keyIndexEdit changes an index and copies each shared shard once.
type keyIndexEdit struct {
	index      *keyIndex
	shared     bool
	owned      [keyShardCount]bool
	collisions []keyCollision
}

func (e *keyIndexEdit) shard(prefix uint64) map[uint64]string {
	number := prefix % keyShardCount
	if e.shared && !e.owned[number] {
		e.index.shards[number] = maps.Clone(e.index.shards[number])
		e.owned[number] = true
	}
	if e.index.shards[number] == nil {
		e.index.shards[number] = make(map[uint64]string)
	}
	return e.index.shards[number]
}

func (e *keyIndexEdit) add(id string, customer *CustomerSpec) {
	if customer == nil {
		return
	}
	for i := range customer.Keys {
		prefix := prefixOf(&customer.Keys[i].Hash)
		shard := e.shard(prefix)
		if other, found := shard[prefix]; found {
			e.collisions = append(e.collisions, keyCollision{first: min(id, other), second: max(id, other)})
			continue
		}
		shard[prefix] = id
	}
}

func (e *keyIndexEdit) remove(customer *CustomerSpec) {
	if customer == nil {
		return
	}
	for i := range customer.Keys {
		prefix := prefixOf(&customer.Keys[i].Hash)
		delete(e.shard(prefix), prefix)
	}
}

// owner returns the id of the customer with a key whose hash has the same prefix.
func (x *keyIndex) owner(hash *KeyHash) (string, bool) {
	prefix := prefixOf(hash)
	id, found := x.shards[prefix%keyShardCount][prefix]
	return id, found
}
