package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

var (
	metricName = regexp.MustCompile(`^sesame_[a-z0-9_]+$`)
	metricRow  = regexp.MustCompile(`(?m)^\| (sesame_[a-z0-9_]+) \|`)
)

// TestMetricsPage compares the metrics in the code with the page's tables.
func TestMetricsPage(t *testing.T) {
	text, err := os.ReadFile("METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	onPage := make(map[string]bool)
	for _, m := range metricRow.FindAllStringSubmatch(string(text), -1) {
		onPage[m[1]] = true
	}
	inCode := make(map[string]bool)
	for _, dir := range []string{"../pkg", "../cmd"} {
		collectMetrics(t, dir, inCode)
	}
	for name := range inCode {
		if !onPage[name] {
			t.Errorf("METRICS.md has no row for %s", name)
		}
	}
	for name := range onPage {
		if !inCode[name] {
			t.Errorf("METRICS.md has a row for %s, which is not in the code", name)
		}
	}
}

// collectMetrics adds the metric names that stand in the sources of a folder.
func collectMetrics(t *testing.T, dir string, names map[string]bool) {
	t.Helper()
	err := filepath.WalkDir(dir, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(f, func(n ast.Node) bool {
			if l, ok := n.(*ast.BasicLit); ok && l.Kind == token.STRING {
				if s, err := strconv.Unquote(l.Value); err == nil && metricName.MatchString(s) {
					names[s] = true
				}
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
