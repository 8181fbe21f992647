package view

import (
	"cmp"
	"slices"
)

// maxLivePerSuspect is how many live members there may be to a suspect for a look at the others to be due: one crash in a large fleet says
// nothing of them.
const maxLivePerSuspect = 16

// DueVerifications returns the members that are to be asked directly whether they run, the longest unseen first. While enough members are
// suspect, those are due that nobody was seen to have reached for Settings.VerifyAfter. The detector alone takes long to probe them on the
// smaller side of a split: each of its failed probes makes the next one slower, up to eight times (Lifeguard's local health), as its helpers
// are cut off too.
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
