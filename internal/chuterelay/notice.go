package chuterelay

// noticeReceived applies what an upstream says about itself.
func (st *reduction) noticeReceived(e NoticeReceived) {
	st.emit(LogNotice(e))
}
