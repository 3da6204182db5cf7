package bulk

import "slices"

// maxTrees is how many blocks have a tree at a time. The oldest one goes first.
const maxTrees = 4

// Trees assign to each host that asks for a block the hosts from which to read it: this host for the first ones, and those for the next ones, so that the bytes which a host sends do not grow with the hosts. The zero value is ready. It is not safe for concurrent use.
type Trees struct {
	trees []tree
}

// tree holds the receivers of a block in the order in which they asked.
type tree struct {
	id        string
	receivers []string
}

// Assign returns the hosts from which the receiver is to read the block, in the order in which it should try them: the one above it, then those further up. This host is above all and not among them.
func (t *Trees) Assign(id, receiver string) []string {
	i := slices.IndexFunc(t.trees, func(known tree) bool { return known.id == id })
	if i < 0 {
		t.trees = append(t.trees, tree{
			id: id,
		})
		if len(t.trees) > maxTrees {
			t.trees = slices.Delete(t.trees, 0, 1)
		}
		i = len(t.trees) - 1
	}
	receivers := &t.trees[i].receivers
	at := slices.Index(*receivers, receiver)
	if at < 0 {
		at = len(*receivers)
		*receivers = append(*receivers, receiver)
	}
	var above []string
	for at >= Fanout {
		at = at/Fanout - 1
		above = append(above, (*receivers)[at])
	}
	return above
}
