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

// maxProblems bounds the list of problems in one error.
const maxProblemsInError = 20

// Problem is one thing wrong with a subtree.
type Problem struct {
	// Path is where, as in services[0].models[1].memory_bytes.
	Path string
	// Line is the line in the file, 1 first; 0 when unknown.
	Line int
	// Wrong tells what is wrong and Want what would be right.
	Message string
	Want  string
}

// InvalidError lists what is wrong with a subtree.
type InvalidError struct {
	File     string
	Problems []Problem
}

// Error lists the problems, one a line.
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

func (p Problem) format(file string) string {
	var b strings.Builder
	b.WriteString(file)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	if p.Path != "" {
		fmt.Fprintf(&b, ": %s", p.Path)
	}
	fmt.Fprintf(&b, ": %s", p.Message)
	if p.Want != "" {
		fmt.Fprintf(&b, "; want %s", p.Want)
	}
	return strings.TrimPrefix(b.String(), ": ")
}

// Fault returns the error as the answer to an operator.
func (e *InvalidError) Fault() *fault.Error {
	return fault.New(fault.InvalidCatalog, "%s", e.Error())
}

// ParseTeam reads one team's subtree from YAML and checks it as a whole. The error is an *InvalidError.
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

// decodeProblem turns an error of the YAML decoder into a problem.
func decodeProblem(data []byte, err error) Problem {
	var ye yaml.Error
	if !errors.As(err, &ye) {
		return Problem{Message: firstLine(err.Error())}
	}
	p := Problem{Message: firstLine(ye.GetMessage()), Want: wantForDecodeError(err)}
	tk := ye.GetToken()
	if tk == nil || tk.Position == nil {
		return p
	}
	p.Line = tk.Position.Line
	p.Path = findPath(data, tk.Position.Line, tk.Position.Column)
	return p
}

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

// typeName names a Go kind in the terms of YAML.
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

func firstLine(s string) string {
	line, _, _ := strings.Cut(strings.TrimSpace(s), "\n")
	return line
}

// positionVisitor finds the path of the node at a position.
type positionVisitor struct {
	line, column int
	path         string
}

// Visit implements ast.Visitor.
func (v *positionVisitor) Visit(n ast.Node) ast.Visitor {
	tk := n.GetToken()
	if tk != nil && tk.Position.Line == v.line && tk.Position.Column == v.column {
		v.path = n.GetPath()
	}
	return v
}

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

// addLines looks the line of each problem's path up in the file. A path that
// the file does not hold takes the line of its nearest parent.
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
