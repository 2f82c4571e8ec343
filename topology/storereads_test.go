package topology

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// TestNameChanges checks which replicas a log line about a changed list names, so that a request to a replica that had left can be
// traced to the list that named it. The number of names is bounded.
func TestNameChanges(t *testing.T) {
	names := nameChanges(servers("a", "b", "c"), servers("a", "b", "d", "e"), servers("a", "d", "e"), servers("d", "z"))
	must.Eq(t, namedChanges{removed: []string{"c"}, kept: []string{"b"}, returned: []string{"d"}}, names)
	var many []string
	for i := range 2 * maxNamedReplicas {
		many = append(many, fmt.Sprint("r", i))
	}
	must.Len(t, maxNamedReplicas, nameChanges(servers(many...), nil, nil, nil).removed)
}
