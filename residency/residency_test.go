package residency

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestRegions guards data that must stay in its regions: a region that is not named, or not known, is not allowed.
func TestRegions(t *testing.T) {
	must.True(t, Regions{}.Allows("norte"))
	must.True(t, Of(nil).Allows(""))
	must.False(t, Of(nil).IsRestricted())
	only := Of([]string{"norte", "centro"})
	must.True(t, only.IsRestricted())
	must.True(t, only.Allows("centro"))
	must.False(t, only.Allows("lisboa"))
	must.False(t, only.Allows(""))
	must.False(t, Of([]string{""}).Allows(""), must.Sprint("an unknown region is never one of those named"))
	must.Eq(t, []string{"norte", "centro"}, only.Names())
	must.True(t, only.Intersect(Regions{}).Allows("norte"))
	must.True(t, Regions{}.Intersect(only).Allows("norte"))
	must.Eq(t, []string{"centro"}, only.Intersect(Of([]string{"lisboa", "centro"})).Names())
	none := only.Intersect(Of([]string{"lisboa"}))
	must.True(t, none.IsRestricted(), must.Sprint("no common region does not mean all regions"))
	must.False(t, none.Allows("norte") || none.Allows("lisboa") || none.Allows(""))
}
