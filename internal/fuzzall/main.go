// Command fuzzall runs the property-based tests of the module with new seeds and its native fuzz targets, in turn, until
// the given time is over. It prints the package, test and seed of each failure and exits with status 1 if there was any.
package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// runTimeout is the timeout of one run of a test binary.
	runTimeout = 5 * time.Minute
	// fuzzTime is the time for which one native fuzz target runs in each round.
	fuzzTime = 5 * time.Second
	// initialTestCases is the number of test cases of each property-based test in its first run. Some tests require that
	// every kind of outcome occurs, which fewer test cases would not reach.
	initialTestCases = 300
	// targetRunTime is the intended duration of a run, from which the number of test cases is derived.
	targetRunTime = 10 * time.Second
	// maxTestCases is the largest number of test cases of a run.
	maxTestCases = 50_000
	// maxOutputBytes is the number of bytes at the end of a failed run's output that are printed.
	maxOutputBytes = 8 << 10
)

// options holds the values of the flags.
type options struct {
	duration time.Duration
	procs    int
}

// outcome counts the runs of a job.
type outcome struct {
	runs, failed, testCases int
	elapsed                 time.Duration
}

func main() {
	var opt options
	flag.DurationVar(&opt.duration, "for", 10*time.Minute, "wall-clock time after which no further run starts")
	flag.IntVar(&opt.procs, "procs", 3, "threads that run at the same time")
	flag.Parse()
	failed, err := run(context.Background(), opt, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err != nil || failed > 0 {
		os.Exit(1)
	}
}

// run builds the test binaries and runs them until the time is over, and returns the number of failed runs.
func run(ctx context.Context, opt options, out io.Writer) (int, error) {
	dir, err := os.MkdirTemp("", "fuzzall")
	if err != nil {
		return 0, eris.Wrap(err, "create temporary directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	packages, err := listPackages(ctx)
	if err != nil {
		return 0, err
	}
	jobs, err := findJobs(packages)
	if err != nil {
		return 0, err
	}
	if len(jobs) == 0 {
		return 0, eris.New("no property-based test and no fuzz target found")
	}
	// The binaries are built once, so that later edits of the source do not change what is tested.
	for i := range jobs {
		if err := jobs[i].build(ctx, dir, i); err != nil {
			return 0, err
		}
	}
	begin := time.Now()
	fmt.Fprintf(out, "start %s, commit %s, %d jobs, %d threads\n", formatTime(begin), commit(ctx), len(jobs), opt.procs)
	results := make([]outcome, len(jobs))
	for i := 0; time.Since(begin) < opt.duration; i = (i + 1) % len(jobs) {
		runJob(ctx, &jobs[i], &results[i], opt, dir, out)
	}
	fmt.Fprintf(out, "end %s\n", formatTime(time.Now()))
	return report(out, jobs, results), nil
}

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339) }

// commit describes the checked out commit, with the suffix "-dirty" if the worktree has changes.
func commit(ctx context.Context) string {
	out, err := exec.CommandContext(ctx, "git", "describe", "--always", "--dirty").Output()
	if err != nil {
		return "unknown"
	}
	return string(bytes.TrimSpace(out))
}

func runJob(ctx context.Context, j *job, o *outcome, opt options, dir string, out io.Writer) {
	seed := rand.Uint64()
	begin := time.Now()
	output, err := j.run(ctx, opt, seed, dir)
	elapsed := time.Since(begin)
	o.runs++
	o.elapsed += elapsed
	command := j.command(seed)
	if j.fuzzTarget == "" {
		o.testCases += j.testCases * len(j.tests)
		j.testCases = nextTestCases(j.testCases, elapsed)
	}
	if err == nil {
		return
	}
	o.failed++
	fmt.Fprintf(out, "FAIL %s %s\n  reproduce: %s\n%s\n", j.importPath, j.name(), command,
		output[max(0, len(output)-maxOutputBytes):])
}

// nextTestCases returns the number of test cases with which a run takes about targetRunTime.
func nextTestCases(current int, elapsed time.Duration) int {
	scaled := float64(current) * float64(targetRunTime) / float64(max(elapsed, time.Millisecond))
	return int(min(max(scaled, 1), maxTestCases))
}

// report prints a table of the jobs and returns the number of failed runs.
func report(out io.Writer, jobs []job, results []outcome) int {
	failed := 0
	fmt.Fprintln(out, "| package | tests | runs | test cases | failed | seconds |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|")
	for i, r := range results {
		failed += r.failed
		testCases := "native"
		if jobs[i].fuzzTarget == "" {
			testCases = strconv.Itoa(r.testCases)
		}
		fmt.Fprintf(out, "| %s | %s | %d | %s | %d | %.0f |\n",
			jobs[i].importPath, jobs[i].name(), r.runs, testCases, r.failed, r.elapsed.Seconds())
	}
	return failed
}

// build compiles the test binary of the job.
func (j *job) build(ctx context.Context, dir string, index int) error {
	j.binary = filepath.Join(dir, strconv.Itoa(index)+".test")
	args := []string{"test", "-c", "-o", j.binary}
	if j.fuzzTarget != "" {
		// With -fuzz, the packages are built with coverage counters that guide the fuzzer.
		args = append(args, "-fuzz", j.pattern())
	}
	output, err := exec.CommandContext(ctx, "go", append(args, j.importPath)...).CombinedOutput()
	return eris.Wrapf(err, "build test binary of %s: %s", j.importPath, output)
}

// run runs the test binary once and returns its output.
func (j *job) run(ctx context.Context, opt options, seed uint64, dir string) ([]byte, error) {
	args := []string{"-test.timeout", runTimeout.String()}
	if j.fuzzTarget != "" {
		args = append(args, "-test.run", "^$", "-test.fuzz", j.pattern(), "-test.fuzztime", fuzzTime.String(),
			"-test.parallel", strconv.Itoa(opt.procs), "-test.fuzzcachedir", filepath.Join(dir, "corpus"))
	} else {
		args = append(args, "-test.run", j.pattern(), "-rapid.nofailfile",
			"-rapid.checks", strconv.Itoa(j.testCases), "-rapid.seed", strconv.FormatUint(seed, 10))
	}
	cmd := exec.CommandContext(ctx, j.binary, args...)
	cmd.Dir = j.dir
	cmd.Env = append(os.Environ(), "RAPID_FRESH=1", "GOMAXPROCS="+strconv.Itoa(opt.procs))
	return cmd.CombinedOutput()
}

// command returns the shell command that repeats a run. A failed fuzz target has stored its input in testdata.
func (j *job) command(seed uint64) string {
	if j.fuzzTarget != "" {
		return fmt.Sprintf("go test %s -run '%s' -count=1", j.importPath, j.pattern())
	}
	return fmt.Sprintf("RAPID_FRESH=1 go test %s -run '%s' -count=1 -rapid.checks=%d -rapid.seed=%d",
		j.importPath, j.pattern(), j.testCases, seed)
}
