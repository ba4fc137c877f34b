package assembler

import (
	"fmt"
	"strings"

	"github.com/stoathitch/stoathitch/pkg/replicator"
)

// describeMembers returns the members of the keepers' log as text, such as "a:voter b:learner".
func describeMembers(members []replicator.Member) string {
	described := make([]string, 0, len(members))
	for _, member := range members {
		described = append(described, fmt.Sprintf("%s:%v", member.Host, member.Role))
	}
	return strings.Join(described, " ")
}
