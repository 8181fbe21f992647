package view

import (
	"cmp"
	"slices"
)

// maxLivePerSuspect is the maximum number of live members per suspect at which the other members are verified. One
// crash in a large fleet is no evidence about the other members.
const maxLivePerSuspect = 16

// DueVerifications returns the members that must be pinged directly to check whether they run. Members that have not
// been seen for the longest time come first. While enough members are suspect, every alive member that was not seen for
// Settings.VerifyAfter is due.
//
// On the smaller side of a split, the detector alone is slow to probe these members. Each of its failed probes makes
// the next one slower, by a factor of up to eight (Lifeguard's local health), because the gateways that it asks for
// indirect probes are cut off as well.
func (v *View) DueVerifications(now int64) []ID {
	var unseen []*Member
	suspects := 0
	for _, m := range v.members {
		switch {
		case m.State == Suspect:
			suspects++
		case m.State == Alive && m.Name != v.self && now-m.LastSeen >= v.settings.VerifyAfter:
			unseen = append(unseen, m)
		}
	}
	if suspects == 0 || v.liveCount > suspects*maxLivePerSuspect {
		return nil
	}
	slices.SortFunc(unseen, func(a, b *Member) int { return cmp.Or(cmp.Compare(a.LastSeen, b.LastSeen), compareNames(a, b)) })
	ids := make([]ID, len(unseen))
	for i, m := range unseen {
		ids[i] = m.ID
	}
	return ids
}
