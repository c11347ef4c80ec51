package operator_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pageTimeout bounds all pages together.
const pageTimeout = 90 * time.Second

// TestCommandsOfThePages runs the commands of the operators' pages in sequence in
// one shell, as an operator would, and fails at the first one that fails. It uses
// a loopback network of its own, so that it can run beside another fleet.
func TestCommandsOfThePages(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	build := exec.CommandContext(t.Context(), "go", "build", "-o", filepath.Join(dir, "nutmeglock"), "../../cmd/nutmeglock")
	out, err := build.CombinedOutput()
	require.NoError(t, err, string(out))
	copyExamples(t, dir)

	first := commands(t, "first-day.md")
	require.Greater(t, len(first), 2)
	script := []string{"set -eu", "export PATH=\"$PWD:$PATH\""}
	script = append(script, first[1:len(first)-1]...) // The binary is built above, and the last block runs after the other pages.
	for _, page := range []string{"notes.md", "accounts.md", "upstreams.md", "restart.md", "outage.md"} {
		script = append(script, commands(t, page)...)
	}
	script = append(script, first[len(first)-1])
	runScript(t, dir, relocate(strings.Join(script, "\n")))
}

// commands returns the blocks of shell commands of a page.
func commands(t *testing.T, page string) []string {
	t.Helper()
	text, err := os.ReadFile(page)
	require.NoError(t, err)
	var blocks []string
	for _, part := range strings.Split(string(text), "```sh\n")[1:] {
		block, _, closed := strings.Cut(part, "```")
		require.True(t, closed, page)
		blocks = append(blocks, block)
	}
	return blocks
}

// relocate moves the addresses to a loopback network of the test's own. It also
// shortens stop-notice-ms, because the test has no load balancer.
func relocate(text string) string {
	pid := os.Getpid()
	network := fmt.Sprintf("127.%d.%d.", 64+pid/250%64, 1+pid%250)
	text = strings.ReplaceAll(text, "127.0.0.", network)
	return strings.ReplaceAll(text, `"stop-notice-ms": 2000`, `"stop-notice-ms": 50`)
}

func copyExamples(t *testing.T, dir string) {
	t.Helper()
	require.NoError(t, os.Mkdir(filepath.Join(dir, "examples"), 0o755))
	files, err := filepath.Glob("../../examples/*")
	require.NoError(t, err)
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		to := filepath.Join(dir, "examples", filepath.Base(file))
		require.NoError(t, os.WriteFile(to, []byte(relocate(string(text))), 0o600))
	}
}

// runScript runs a script in its own process group and kills the processes that
// it leaves running.
func runScript(t *testing.T, dir, script string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), pageTimeout)
	defer cancel()
	output, err := os.Create(filepath.Join(dir, "output.log"))
	require.NoError(t, err)
	defer output.Close()
	shell := exec.CommandContext(ctx, "sh", "-x", "-c", script)
	shell.Dir = dir
	shell.Stdout, shell.Stderr = output, output
	shell.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	shell.Cancel = func() error { return syscall.Kill(-shell.Process.Pid, syscall.SIGKILL) }
	err = shell.Run()
	_ = syscall.Kill(-shell.Process.Pid, syscall.SIGKILL) // Kills what a failed script left running.
	if err != nil {
		text, _ := os.ReadFile(output.Name())
		require.NoError(t, err, string(text))
	}
}
