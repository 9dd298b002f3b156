package teams

import (
	"errors"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"almondturn/pkg/fault"
)

// maxProblemsInError is the maximum number of problems that one error lists.
const maxProblemsInError = 20

// Problem is one violation in a subtree.
type Problem struct {
	// Path is the path of the field, such as services[0].models[1].memory_bytes.
	Path string
	// Line is the line in the file, counted from 1; 0 if unknown.
	Line int
	// Message says what is wrong.
	Message string
	// Want describes what would be valid; empty if unknown.
	Want string
}

// InvalidError reports that a subtree is invalid, with all its problems.
type InvalidError struct {
	File     string // name of the file for messages; empty if there is none
	Problems []Problem
}

// Error lists the problems, one per line, at most maxProblemsInError of them.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for i, p := range e.Problems {
		if i == maxProblemsInError {
			lines = append(lines, fmt.Sprintf("... and %d more problems", len(e.Problems)-i))
			break
		}
		lines = append(lines, p.format(e.File))
	}
	return strings.Join(lines, "\n")
}

// format returns the problem as file:line: path: message; want ... Unknown parts are
// omitted.
func (p Problem) format(file string) string {
	var text strings.Builder
	text.WriteString(file)
	if p.Line > 0 {
		fmt.Fprintf(&text, ":%d", p.Line)
	}
	if p.Path != "" {
		fmt.Fprintf(&text, ": %s", p.Path)
	}
	fmt.Fprintf(&text, ": %s", p.Message)
	if p.Want != "" {
		fmt.Fprintf(&text, "; want %s", p.Want)
	}
	return strings.TrimPrefix(text.String(), ": ")
}

// Fault returns the error as an InvalidCatalog for the response to an operator.
func (e *InvalidError) Fault() *fault.Error {
	return fault.New(fault.InvalidCatalog, "%s", e.Error())
}

// ParseTeam decodes one team's subtree from YAML and validates it. file is the name in
// messages. The error is an *InvalidError.
func ParseTeam(file string, data []byte) (*TeamSpec, error) {
	spec := new(TeamSpec)
	if err := yaml.UnmarshalWithOptions(data, spec, yaml.Strict()); err != nil {
		return nil, &InvalidError{File: file, Problems: []Problem{decodeProblem(data, err)}}
	}
	if problems := Validate(spec); len(problems) > 0 {
		addLines(data, problems)
		return nil, &InvalidError{File: file, Problems: problems}
	}
	return spec, nil
}

// FormatTeam returns the subtree as YAML that ParseTeam accepts.
func FormatTeam(spec *TeamSpec) ([]byte, error) {
	out, err := yaml.MarshalWithOptions(spec, yaml.IndentSequence(true))
	if err != nil {
		return nil, fmt.Errorf("format team %q: %w", spec.Team, err)
	}
	return out, nil
}

// decodeProblem converts an error of the YAML decoder to a problem, with the line and
// the path in data if the error has a position.
func decodeProblem(data []byte, err error) Problem {
	var yamlErr yaml.Error
	if !errors.As(err, &yamlErr) {
		return Problem{Message: firstLine(err.Error())}
	}
	p := Problem{Message: firstLine(yamlErr.GetMessage()), Want: wantForDecodeError(err)}
	token := yamlErr.GetToken()
	if token == nil || token.Position == nil {
		return p
	}
	p.Line = token.Position.Line
	p.Path = findPath(data, token.Position.Line, token.Position.Column)
	return p
}

// wantForDecodeError describes what would be valid instead of what the YAML decoder
// rejected; it returns "" if the error doesn't show it.
func wantForDecodeError(err error) string {
	var unknown *yaml.UnknownFieldError
	if errors.As(err, &unknown) {
		return "a field that docs/operators/settings.md lists"
	}
	var mistyped *yaml.TypeError
	if errors.As(err, &mistyped) {
		return "a value of type " + yamlTypeName(mistyped.DstType.Kind().String())
	}
	return ""
}

// yamlTypeName returns the YAML name of the Go kind with the given name.
func yamlTypeName(kind string) string {
	switch kind {
	case "int", "int64":
		return "integer"
	case "float64":
		return "number"
	case "slice":
		return "list"
	case "struct":
		return "mapping"
	}
	return kind
}

// firstLine returns the first line of s, without surrounding blanks.
func firstLine(s string) string {
	line, _, _ := strings.Cut(strings.TrimSpace(s), "\n")
	return line
}

// positionVisitor sets path to the path of the node at a line and column.
type positionVisitor struct {
	line, column int
	path         string
}

// Visit implements ast.Visitor.
func (v *positionVisitor) Visit(n ast.Node) ast.Visitor {
	token := n.GetToken()
	if token != nil && token.Position.Line == v.line && token.Position.Column == v.column {
		v.path = n.GetPath()
	}
	return v
}

// findPath returns the path of the node at a line and column of a YAML file, "" if
// there is none or the file can't be parsed.
func findPath(data []byte, line, column int) string {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return ""
	}
	v := &positionVisitor{line: line, column: column}
	for _, doc := range file.Docs {
		if doc.Body != nil {
			ast.Walk(v, doc.Body)
		}
	}
	return strings.TrimPrefix(strings.TrimPrefix(v.path, "$"), ".")
}

// addLines sets the line of each of the first maxProblemsInError problems. A path that
// is not in the file gets the line of its nearest parent.
func addLines(data []byte, problems []Problem) {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return
	}
	for i := range problems {
		if i == maxProblemsInError {
			return
		}
		problems[i].Line = findLine(file, problems[i].Path)
	}
}

// findLine returns the line of a path or of its nearest parent in the file; 1 if the
// file has none of them.
func findLine(file *ast.File, path string) int {
	for path != "" {
		if line := findExactLine(file, path); line > 0 {
			return line
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			break
		}
		path = path[:cut]
	}
	return 1
}

// findExactLine returns the line of a path in the file, 0 if it is not there.
func findExactLine(file *ast.File, path string) int {
	p, err := yaml.PathString("$." + path)
	if err != nil {
		return 0
	}
	node, err := p.FilterFile(file)
	if err != nil || node == nil || node.GetToken() == nil {
		return 0
	}
	return node.GetToken().Position.Line
}
