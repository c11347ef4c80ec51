package docs_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var testName = regexp.MustCompile("`([a-z/]+)/(Test[A-Za-z]+)(?:/([a-z-]+))?`")

// A page that cites a renamed or removed test would promise something that no test
// checks.
func TestPromisesNameTestsThatExist(t *testing.T) {
	t.Parallel()
	page, err := os.ReadFile("PROMISES.md")
	require.NoError(t, err)
	names := testName.FindAllStringSubmatch(string(page), -1)
	require.NotEmpty(t, names)
	for _, name := range names {
		require.True(t, hasTest(t, filepath.Join("..", name[1]), name[2]), name[0])
		if script := name[3]; script != "" {
			require.FileExists(t, filepath.Join("..", name[1], "testdata", "fleet", script+".txtar"))
		}
	}
}

func hasTest(t *testing.T, dir, name string) bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*_test.go"))
	require.NoError(t, err)
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		if strings.Contains(string(text), "\nfunc "+name+"(t *testing.T) {") {
			return true
		}
	}
	return false
}

var link = regexp.MustCompile(`\]\(([^)#:]+)\)`)

// Each relative link must lead to an existing file. A dead link costs operators
// most, who use the pages only a few times a year.
func TestLinksOfPagesResolve(t *testing.T) {
	t.Parallel()
	pages := []string{"../README.md"}
	for _, pattern := range []string{"*.md", "*/*.md"} {
		found, err := filepath.Glob(pattern)
		require.NoError(t, err)
		pages = append(pages, found...)
	}
	for _, page := range pages {
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, target := range link.FindAllStringSubmatch(string(text), -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(page), target[1]))
			require.NoError(t, err, page)
		}
	}
}
