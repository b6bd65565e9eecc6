package chutestream

import (
	"slices"
	"time"
)

// contentBinding counts the records of one content and one binding, and says until when the last of them can be taken up.
type contentBinding struct {
	binding Binding
	records int
	until   time.Time
}

// findContent returns a record for a content, or false if there is none or not all have the same binding.
func (s State) findContent(content ID, now time.Time) (Record, bool) {
	var found Record
	all, _ := s.byContent.Get(content)
	for _, c := range all {
		switch {
		case !now.Before(c.until):
		case !found.Binding.IsZero():
			return Record{ID: content, ambiguous: true}, false
		default:
			found = Record{ID: content, Binding: c.binding, Until: c.until}
		}
	}

	return found, !found.Binding.IsZero()
}

// addContent adds the binding of a record to those of its content; isNew says that no record of its ID is known.
func (st *reduction) addContent(r Record, isNew bool) {
	all, _ := st.byContent.Get(r.ID.content())
	all = slices.Clone(all)
	i := indexOfBinding(all, r.Binding)
	if i < 0 {
		i, all = len(all), append(all, contentBinding{binding: r.Binding})
	}
	if isNew {
		all[i].records++
	}
	if r.Until.After(all[i].until) {
		all[i].until = r.Until
	}
	st.byContent = st.byContent.Set(r.ID.content(), all)
}

// removeContent takes a record out of the count of its content. A binding without records is dropped; one that only made the
// record ambiguous never had any, and goes with it.
func (st *reduction) removeContent(r Record) {
	all, _ := st.byContent.Get(r.ID.content())
	all = slices.Clone(all)
	if i := indexOfBinding(all, r.Binding); i >= 0 {
		all[i].records--
	}
	all = slices.DeleteFunc(all, func(c contentBinding) bool {
		return c.records <= 0 && (r.ambiguous || c.binding.Allows(r.Binding) || !st.now.Before(c.until))
	})
	if len(all) == 0 {
		st.byContent = st.byContent.Delete(r.ID.content())

		return
	}
	st.byContent = st.byContent.Set(r.ID.content(), all)
}

func indexOfBinding(all []contentBinding, b Binding) int {
	return slices.IndexFunc(all, func(c contentBinding) bool { return c.binding.Allows(b) })
}
