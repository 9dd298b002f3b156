package teams

import (
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"

	"almondturn/fleet"
)

const (
	// maxMemoryBytes is the largest plausible memory of one replica: 16 TiB.
	maxMemoryBytes = 16 << 40
	// maxNameBytes bounds the names of models, versions and adapters.
	maxNameBytes = 128
	// nameWant tells which names are right.
	wantName = "1 to 128 characters without spaces, '/', '@' and '+'"
)

var fieldChecks = newFieldChecks()

func newFieldChecks() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		return name
	})
	return v
}

// Validate returns what is wrong with a subtree by itself; none when it is right.
// Whether its service names are free is settled when it is written.
func Validate(spec *TeamSpec) []Problem {
	c := &checker{}
	c.checkFields(spec)
	c.checkCallers(spec)
	services := newNameSet(c, "service")
	for i := range spec.Services {
		path := fmt.Sprintf("services[%d]", i)
		services.add(path+".name", string(spec.Services[i].Name))
		c.checkService(path, &spec.Services[i])
	}
	return c.problems
}

type checker struct {
	problems []Problem
}

func (c *checker) addProblem(path, want, format string, args ...any) {
	c.problems = append(c.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...), Want: want})
}

// fields reports the violated validate tags.
func (c *checker) checkFields(spec *TeamSpec) {
	err := fieldChecks.Struct(spec)
	if err == nil {
		return
	}
	var list validator.ValidationErrors
	if !errors.As(err, &list) {
		c.addProblem("", "", "%s", err.Error())
		return
	}
	for _, fe := range list {
		_, path, _ := strings.Cut(fe.Namespace(), ".")
		c.addProblem(path, wantForTag(fe), "value %s is not valid", formatValue(fe.Value()))
	}
}

func formatValue(v any) string {
	if rv := reflect.ValueOf(v); rv.Kind() == reflect.String {
		return strconv.Quote(rv.String())
	}
	return fmt.Sprint(v)
}

// tagWant tells what a validate tag asks for.
func wantForTag(fe validator.FieldError) string {
	switch fe.Tag() {
	case "required":
		return "a value"
	case "hostname_rfc1123":
		return "letters, digits and hyphens"
	case "len":
		return "a SHA-256 digest of " + fe.Param() + " hexadecimal digits"
	case "hexadecimal":
		return "hexadecimal digits"
	case "oneof":
		return "one of " + strings.ReplaceAll(fe.Param(), " ", ", ")
	case "min":
		return "at least " + fe.Param()
	case "max":
		return "at most " + fe.Param()
	case "gt":
		return "more than " + fe.Param()
	case "startswith":
		return "a value that starts with " + fe.Param()
	}
	return fe.Tag() + " " + fe.Param()
}

func (c *checker) checkCallers(spec *TeamSpec) {
	known := map[fleet.Service]bool{}
	for i := range spec.Services {
		known[spec.Services[i].Name] = true
	}
	names, hashes := newNameSet(c, "caller"), newNameSet(c, "API key")
	for i, caller := range spec.Callers {
		path := fmt.Sprintf("callers[%d]", i)
		names.add(path+".name", caller.Name)
		hashes.add(path+".key_sha256", strings.ToLower(caller.KeyHash))
		if caller.KeyHash != strings.ToLower(caller.KeyHash) {
			c.addProblem(path+".key_sha256", "lower-case hexadecimal digits", "digest %q has upper-case digits", caller.KeyHash)
		}
		if !known[caller.Service] {
			c.addProblem(path+".service", "a service of this team", "service %q does not exist in team %q", caller.Service, spec.Team)
		}
	}
	tokens := newNameSet(c, "operator token")
	for i, token := range spec.OperatorTokens {
		path := fmt.Sprintf("operator_tokens[%d]", i)
		tokens.add(path, token)
		if token != strings.ToLower(token) {
			c.addProblem(path, "lower-case hexadecimal digits", "digest %q has upper-case digits", token)
		}
	}
}

func (c *checker) checkService(path string, svc *ServiceSpec) {
	if svc.Kind == fleet.TargetPlain && len(svc.Models) > 0 {
		c.addProblem(path+".models", "no models, or kind engine", "plain service %q lists %d models", svc.Name, len(svc.Models))
	}
	if svc.Kind == fleet.TargetEngine && len(svc.Calls) > 0 {
		c.addProblem(path+".calls", "no calls, or kind plain", "engine service %q lists rules for calls", svc.Name)
	}
	if svc.Kind == fleet.TargetEngine && svc.Engine == nil {
		c.addProblem(path+".engine", "a description of the targets", "service %q of models does not say what its targets are", svc.Name)
	}
	if svc.Kind == fleet.TargetPlain && svc.Engine != nil {
		c.addProblem(path+".engine", "no engine, or kind engine", "plain service %q describes engines", svc.Name)
	}
	models := newNameSet(c, "model")
	for i := range svc.Models {
		m := &svc.Models[i]
		at := fmt.Sprintf("%s.models[%d]", path, i)
		models.add(at+".name", modelName(m))
		c.checkModel(at, m)
	}
}

func (c *checker) checkModel(path string, m *ModelSpec) {
	c.checkName(path+".name", m.Name)
	if m.Version != "" {
		c.checkName(path+".version", m.Version)
	}
	c.checkMemory(path+".memory_bytes", m.MemoryBytes)
	adapters := newNameSet(c, "adapter")
	for i := range m.Adapters {
		a := &m.Adapters[i]
		at := path + ".adapters[" + strconv.Itoa(i) + "]"
		adapters.add(at+".name", a.Name)
		c.checkName(at+".name", a.Name)
		c.checkMemory(at+".memory_bytes", a.MemoryBytes)
	}
}

func (c *checker) checkMemory(path string, bytes int64) {
	if bytes > maxMemoryBytes {
		c.addProblem(path, "at most 16 TiB, given in bytes", "memory of %d bytes is not plausible", bytes)
	}
}

// name checks a name that becomes part of a replica key.
func (c *checker) checkName(path, name string) {
	if name == "" || len(name) > maxNameBytes || strings.ContainsAny(name, "/@+ \t\r\n") {
		c.addProblem(path, wantName, "name %q is not valid", name)
	}
}

func modelName(m *ModelSpec) string {
	if m.Version == "" {
		return m.Name
	}
	return m.Name + "@" + m.Version
}

// names finds names that stand twice.
type nameSet struct {
	c     *checker
	kind  string
	firstPath map[string]string
}

func newNameSet(c *checker, what string) *nameSet {
	return &nameSet{c: c, kind: what, firstPath: map[string]string{}}
}

func (n *nameSet) add(path, name string) {
	if at, ok := n.firstPath[name]; ok {
		n.c.addProblem(path, "a unique name", "%s %q is already declared at %s", n.kind, name, at)
		return
	}
	n.firstPath[name] = path
}
