package bwcommit

import "basilwood.example/basilwood/bwkv"

// entries collects the entries of a transaction, which names each key at most once as expected and once as
// written.
type entries struct {
	expected []bwkv.Expectation
	writes   []Write
	// revisions holds the expected revisions, and positions the index in writes, by key.
	revisions map[string]int64
	positions map[string]int
}

func newEntries() *entries {
	return &entries{revisions: make(map[string]int64), positions: make(map[string]int)}
}

// add adds a write with its expectations. It returns false if that does not fit into the transaction, or
// contradicts an entry: a key cannot have two revisions, nor be set and removed in one transaction.
func (t *entries) add(w Write) bool {
	added := 0
	for _, e := range w.Expected {
		revision, ok := t.revisions[e.Key]
		if ok && revision != e.Revision {
			return false
		}
		if !ok {
			added++
		}
	}
	position, isWritten := t.positions[w.Key]
	if isWritten && t.writes[position].IsRemoval != w.IsRemoval {
		return false
	}
	if !isWritten {
		added++
	}
	if len(t.expected)+len(t.writes)+added > maxBatchEntries {
		return false
	}
	for _, e := range w.Expected {
		if _, ok := t.revisions[e.Key]; !ok {
			t.revisions[e.Key] = e.Revision
			t.expected = append(t.expected, e)
		}
	}
	if isWritten {
		t.writes[position] = w
		return true
	}
	t.positions[w.Key] = len(t.writes)
	t.writes = append(t.writes, w)
	return true
}

// appendTo returns the transaction with the collected entries added.
func (t *entries) appendTo(transaction bwkv.Transaction) bwkv.Transaction {
	transaction.Expected = append(transaction.Expected, t.expected...)
	for _, w := range t.writes {
		if w.IsRemoval {
			transaction.Remove = append(transaction.Remove, w.Key)
		} else {
			transaction.Set = append(transaction.Set, bwkv.Write{Key: w.Key, Value: w.Value})
		}
	}
	return transaction
}
