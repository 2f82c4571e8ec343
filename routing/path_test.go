package routing_test

import (
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/routing"
)

// newPathTable returns a table with an unsafe route, a safe one below it, and one whose prefix has an encoded byte.
func newPathTable(t testing.TB) *routing.Table {
	var routes []routing.Route
	for name, prefix := range map[string]string{"order": "/chapas/", "state": "/chapas/estado/", "encoded": "/caf%c3%a9/"} {
		routes = append(routes, routing.Route{Name: name, Host: "h", Prefix: prefix, Timeout: 1, MaxAttempts: 1,
			Split: []routing.WeightedService{{Service: name, Weight: 1}}})
	}
	table, err := routing.NewTable(routing.Config{Version: 1, Routes: routes})
	must.NoError(t, err)
	return table
}

// TestRoutesMatchPathsAsSent guards against an order that gets the route of idempotent requests, or of another service, since its path lies
// under that route's prefix only after decoding.
func TestRoutesMatchPathsAsSent(t *testing.T) {
	table := newPathTable(t)
	for target, want := range map[string]string{
		"/chapas/7":                      "order",
		"/chapas/estado/7":               "state",
		"/chapas/estado%2F7":             "order",
		"/chapas/estado%2f7":             "order",
		"/chapas/est%61do/7":             "order",
		"/chapas/../chapas/estado/7":     "order",
		"/chapas/%2e%2e/chapas/estado/7": "order",
		"/chapas//estado/7":              "order",
		"/chapas/estado/?a=/b#c":         "state",
		"/chapas/estado?/7":              "order",
		"/chapas/estado#/7":              "order",
		"/chapas":                        "",
		"/chapas%2F7":                    "",
		"//chapas/7":                     "",
		"/caf%C3%A9/1":                   "encoded",
		"/caf%c3%a9/1":                   "encoded",
		"/caf\xc3\xa9/1":                 "",
		"/caf%C3%A":                      "",
		"http://h/chapas/estado/7?x":     "state",
		"http://h/chapas/estado%2F7":     "order",
		"http://h":                       "",
		"http://h?/chapas/7":             "",
		"/x?http://h/chapas/7":           "",
		"x://h/chapas/7":                 "",
		"*":                              "",
		"":                               "",
	} {
		route := table.Match("h", routing.PathOf(target))
		got := ""
		if route != nil {
			got = route.Name
		}
		must.Eq(t, want, got, must.Sprint(target))
	}
}

// absoluteForm matches a target with scheme and host, and its path.
var absoluteForm = regexp.MustCompile(`(?is)^https?://[^/]*(/.*)$`)

// FuzzPathOf guards against a path that gets the route of a prefix under which it lies only after decoding: the route that it gets has a
// prefix with which the path as sent begins.
func FuzzPathOf(f *testing.F) {
	table := newPathTable(f)
	for _, target := range []string{"/chapas/estado%2F7", "/%63hapas/7", "http://h/chapas/1", "/chapas/estado/%", "/caf%C3%A9/", "//h/chapas/", "?"} {
		f.Add(target)
	}
	f.Fuzz(func(t *testing.T, target string) {
		route := table.Match("h", routing.PathOf(target))
		sent, _, _ := strings.Cut(target, "?")
		if match := absoluteForm.FindStringSubmatch(sent); match != nil {
			sent = match[1]
		}
		if route == nil {
			return
		}
		n := len(route.Prefix)
		isEqual := len(sent) >= n && (sent[:n] == route.Prefix || strings.Contains(route.Prefix, "%") && strings.EqualFold(sent[:n], route.Prefix))
		if !isEqual {
			t.Fatalf("%q gets the route of %q", target, route.Prefix)
		}
	})
}
