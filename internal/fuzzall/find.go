package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// listedPackage holds the fields of a package that go list -json prints.
type listedPackage struct {
	ImportPath, Dir           string
	TestGoFiles, XTestGoFiles []string
}

// job holds all property-based tests of a package, or one of its fuzz targets.
type job struct {
	importPath, dir, binary string
	tests                   []string
	fuzzTarget              string
	// testCases is the number of test cases that rapid generates for each test in the next run.
	testCases int
}

func (j *job) name() string {
	if j.fuzzTarget != "" {
		return j.fuzzTarget
	}
	return strings.Join(j.tests, ", ")
}

// pattern returns a regular expression that matches exactly the names of the job's tests.
func (j *job) pattern() string {
	if j.fuzzTarget != "" {
		return "^" + j.fuzzTarget + "$"
	}
	return "^(" + strings.Join(j.tests, "|") + ")$"
}

func listPackages(ctx context.Context) ([]listedPackage, error) {
	out, err := exec.CommandContext(ctx, "go", "list", "-json=ImportPath,Dir,TestGoFiles,XTestGoFiles", "./...").Output()
	if err != nil {
		return nil, eris.Wrap(err, "go list")
	}
	var packages []listedPackage
	for dec := json.NewDecoder(bytes.NewReader(out)); ; {
		var p listedPackage
		switch err := dec.Decode(&p); {
		case errors.Is(err, io.EOF):
			return packages, nil
		case err != nil:
			return nil, eris.Wrap(err, "go list")
		}
		packages = append(packages, p)
	}
}

// findJobs parses the test files of the packages and returns the jobs in them.
func findJobs(packages []listedPackage) ([]job, error) {
	var jobs []job
	for _, p := range packages {
		calls, err := parseCalls(p)
		if err != nil {
			return nil, err
		}
		tests, targets := classify(calls)
		if len(tests) > 0 {
			jobs = append(jobs, job{importPath: p.ImportPath, dir: p.Dir, tests: tests, testCases: initialTestCases})
		}
		for _, target := range targets {
			jobs = append(jobs, job{importPath: p.ImportPath, dir: p.Dir, fuzzTarget: target})
		}
	}
	return jobs, nil
}

// parseCalls returns the names of the functions that each function in the package's test files calls.
func parseCalls(p listedPackage) (map[string][]string, error) {
	calls := make(map[string][]string)
	for _, name := range append(p.TestGoFiles, p.XTestGoFiles...) {
		file, err := parser.ParseFile(token.NewFileSet(), filepath.Join(p.Dir, name), nil, parser.SkipObjectResolution)
		if err != nil {
			return nil, eris.Wrap(err, "parse test file")
		}
		for _, d := range file.Decls {
			if f, ok := d.(*ast.FuncDecl); ok && f.Body != nil {
				calls[f.Name.Name] = append(calls[f.Name.Name], calledNames(f.Body)...)
			}
		}
	}
	return calls, nil
}

func calledNames(body ast.Node) []string {
	names := []string{}
	ast.Inspect(body, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		switch f := call.Fun.(type) {
		case *ast.Ident:
			names = append(names, f.Name)
		case *ast.SelectorExpr:
			if x, ok := f.X.(*ast.Ident); ok {
				names = append(names, x.Name+"."+f.Sel.Name)
			}
		}
		return true
	})
	return names
}

// classify returns the tests that call rapid.Check, directly or through other functions of the test files, and the
// fuzz targets.
func classify(calls map[string][]string) (tests, targets []string) {
	for name := range calls {
		switch {
		case strings.HasPrefix(name, "Fuzz"):
			targets = append(targets, name)
		case strings.HasPrefix(name, "Test") && callsRapidCheck(calls, name, map[string]bool{}):
			tests = append(tests, name)
		}
	}
	slices.Sort(tests)
	slices.Sort(targets)
	return tests, targets
}

func callsRapidCheck(calls map[string][]string, name string, seen map[string]bool) bool {
	if name == "rapid.Check" {
		return true
	}
	if seen[name] {
		return false
	}
	seen[name] = true
	return slices.ContainsFunc(calls[name], func(called string) bool { return callsRapidCheck(calls, called, seen) })
}
