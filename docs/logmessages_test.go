package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var logMethod = regexp.MustCompile(`^(Warn|Warning|Error|Fatal|Panic|Log)(f|ln)?$`)

// logMessage returns the message of a call that writes a log line, or "".
func logMessage(n ast.Node) string {
	call, _ := n.(*ast.CallExpr)
	if call == nil {
		return ""
	}
	s, _ := call.Fun.(*ast.SelectorExpr)
	if s == nil || !logMethod.MatchString(s.Sel.Name) {
		return ""
	}
	if p, _ := s.X.(*ast.Ident); p != nil && (p.Name == "errors" || p.Name == "fmt") {
		return ""
	}
	for _, arg := range call.Args {
		if lit, ok := arg.(*ast.BasicLit); ok && lit.Kind == token.STRING {
			return strings.NewReplacer("%d", "N", "%s", "WHAT").Replace(strings.Trim(lit.Value, "\"`"))
		}
	}
	return ""
}

// Guards against a warning or an error in the log that the operators' page does
// not explain. Each message is a heading there, with N and WHAT for values.
func TestLogMessagesAreExplained(t *testing.T) {
	page, err := os.ReadFile("operators/log-messages.md")
	qt.Assert(t, err, qt.IsNil)
	for _, dir := range []string{"entry", "agent", "backend", "ingress", "cmd", "config/watch", "transport", "intake"} {
		err := filepath.WalkDir("../"+dir, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			ast.Inspect(file, func(n ast.Node) bool {
				m := logMessage(n)
				return qt.Check(t, m == "" || strings.Contains(string(page), "\n### "+m+"\n"), qt.IsTrue, qt.Commentf("%s: %q", path, m))
			})
			return err
		})
		qt.Assert(t, err, qt.IsNil)
	}
}
