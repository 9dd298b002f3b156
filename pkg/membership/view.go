package membership

import (
	"slices"
	"strings"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/peer"
)

// View returns an immutable copy of what the node knows.
func (c *Core) View(now time.Time) *peer.View {
	v := &peer.View{
		Self:          c.self,
		Epoch:         c.roster.Epoch,
		Roster:        slices.Clone(c.roster.Members),
		Member:        c.isMember(),
		PlatformUp:    c.platformUp(now),
		PlatformOlder: c.service.older,
	}
	if !c.leaving {
		v.Live = append(v.Live, c.self)
	}
	for _, n := range c.nodes {
		if c.live(now, n) {
			v.Live = append(v.Live, n.Node)
		}
	}
	sortNodes(v.Live)
	return v
}

// takeChanged tells whether the view may have changed since the last call.
func (c *Core) takeChanged() bool {
	changed := c.changed
	c.changed = false
	return changed
}

// Known returns all nodes that are to be connected.
func (c *Core) Known() []fleet.Node {
	out := make([]fleet.Node, 0, len(c.nodes))
	for _, n := range c.nodes {
		out = append(out, n.Node)
	}
	sortNodes(out)
	return out
}

func sortNodes(nodes []fleet.Node) {
	slices.SortFunc(nodes, func(a, b fleet.Node) int { return strings.Compare(string(a.ID), string(b.ID)) })
}

func sameView(a, b *peer.View) bool {
	return a.Epoch == b.Epoch && a.Member == b.Member &&
		a.PlatformUp == b.PlatformUp && a.PlatformOlder == b.PlatformOlder &&
		slices.Equal(a.Roster, b.Roster) && slices.Equal(a.Live, b.Live)
}
