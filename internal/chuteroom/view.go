package chuteroom

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// maxViewed is the number of workspaces in a view.
const maxViewed = 8

// View describes a pool's recent work in a state dump.
type View struct {
	Counts

	Pool string
	// Workspaces is the number of workspaces with recent work, Work that of all in tokens.
	Workspaces int
	Work       int64
	// Share is what each workspace may have in progress, in tokens, as last computed while the pool was short of capacity;
	// SharesAt is when that was. Both are left out if it never was, Share also if all demands were covered.
	Share    int64      `json:",omitempty"`
	SharesAt *time.Time `json:",omitempty"`
	// Most are the workspaces that have the most in progress.
	Most []WorkspaceView `json:",omitempty"`
}

// WorkspaceView describes a workspace's recent work, in tokens: what is in progress, and what its calls demanded.
type WorkspaceView struct {
	Workspace string
	Work      int64
	Demanded  int64
}

// View describes the pool at a time.
func (p Pool) View(name string, now time.Time) View {
	v := View{Counts: p.counts, Pool: name, Work: int64(p.admitted.valueAt(now))}
	for i := p.workspaces.Iterator(); !i.Done(); {
		workspace, u, _ := i.Next()
		w := WorkspaceView{Workspace: workspace, Work: int64(u.admitted.valueAt(now)), Demanded: int64(u.demanded.valueAt(now))}
		if w.Demanded > 0 {
			v.Most = append(v.Most, w)
		}
	}
	v.Workspaces = len(v.Most)
	slices.SortFunc(v.Most, func(a, b WorkspaceView) int {
		return cmp.Or(cmp.Compare(b.Work, a.Work), cmp.Compare(b.Demanded, a.Demanded), cmp.Compare(a.Workspace, b.Workspace))
	})
	v.Most = v.Most[:min(len(v.Most), maxViewed)]
	if len(p.demands.sorted) > 0 {
		at := p.demands.at
		v.SharesAt = &at
		if share := p.demands.share(1); !math.IsInf(share, 1) {
			v.Share = int64(share)
		}
	}

	return v
}
