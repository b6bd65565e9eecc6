package chuterelay

// noticeReceived applies what an upstream says about itself.
func (st *reduction) noticeReceived(e NoticeReceived) {
	leavesNow := e.Leaving && !st.fleet.SaysLeaving(e.Upstream.ID)
	if leavesNow {
		st.fleet = st.fleet.WithLeaving(e.Upstream.ID, st.now)
	}
	if leavesNow || e.Rest > 0 || e.Malformed != "" {
		st.emit(LogNotice(e))
	}
	if leavesNow {
		st.refuseUnservable()
		st.fillAllLanes()
	}
}
