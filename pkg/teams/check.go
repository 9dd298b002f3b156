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
	nameWant = "1 to 128 characters without spaces, '/', '@' and '+'"
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
	c.fields(spec)
	c.callers(spec)
	services := newNames(c, "service")
	for i := range spec.Services {
		path := fmt.Sprintf("services[%d]", i)
		services.add(path+".name", string(spec.Services[i].Name))
		c.service(path, &spec.Services[i])
	}
	return c.problems
}

type checker struct {
	problems []Problem
}

func (c *checker) add(path, want, format string, args ...any) {
	c.problems = append(c.problems, Problem{Path: path, Wrong: fmt.Sprintf(format, args...), Want: want})
}

// fields reports the violated validate tags.
func (c *checker) fields(spec *TeamSpec) {
	err := fieldChecks.Struct(spec)
	if err == nil {
		return
	}
	var list validator.ValidationErrors
	if !errors.As(err, &list) {
		c.add("", "", "%s", err.Error())
		return
	}
	for _, fe := range list {
		_, path, _ := strings.Cut(fe.Namespace(), ".")
		c.add(path, tagWant(fe), "value %s is not valid", quoted(fe.Value()))
	}
}

func quoted(v any) string {
	if rv := reflect.ValueOf(v); rv.Kind() == reflect.String {
		return strconv.Quote(rv.String())
	}
	return fmt.Sprint(v)
}

// tagWant tells what a validate tag asks for.
func tagWant(fe validator.FieldError) string {
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

func (c *checker) callers(spec *TeamSpec) {
	known := map[fleet.Service]bool{}
	for i := range spec.Services {
		known[spec.Services[i].Name] = true
	}
	names, hashes := newNames(c, "caller"), newNames(c, "API key")
	for i, caller := range spec.Callers {
		path := fmt.Sprintf("callers[%d]", i)
		names.add(path+".name", caller.Name)
		hashes.add(path+".key_sha256", strings.ToLower(caller.KeyHash))
		if caller.KeyHash != strings.ToLower(caller.KeyHash) {
			c.add(path+".key_sha256", "lower-case hexadecimal digits", "digest %q has upper-case digits", caller.KeyHash)
		}
		if !known[caller.Service] {
			c.add(path+".service", "a service of this team", "service %q does not exist in team %q", caller.Service, spec.Team)
		}
	}
	tokens := newNames(c, "operator token")
	for i, token := range spec.OperatorTokens {
		path := fmt.Sprintf("operator_tokens[%d]", i)
		tokens.add(path, token)
		if token != strings.ToLower(token) {
			c.add(path, "lower-case hexadecimal digits", "digest %q has upper-case digits", token)
		}
	}
}

func (c *checker) service(path string, svc *ServiceSpec) {
	if svc.Kind == fleet.TargetPlain && len(svc.Models) > 0 {
		c.add(path+".models", "no models, or kind engine", "plain service %q lists %d models", svc.Name, len(svc.Models))
	}
	if svc.Kind == fleet.TargetEngine && len(svc.Calls) > 0 {
		c.add(path+".calls", "no calls, or kind plain", "engine service %q lists rules for calls", svc.Name)
	}
	if svc.Kind == fleet.TargetEngine && svc.Engine == nil {
		c.add(path+".engine", "a description of the targets", "service %q of models does not say what its targets are", svc.Name)
	}
	if svc.Kind == fleet.TargetPlain && svc.Engine != nil {
		c.add(path+".engine", "no engine, or kind engine", "plain service %q describes engines", svc.Name)
	}
	models := newNames(c, "model")
	for i := range svc.Models {
		m := &svc.Models[i]
		at := fmt.Sprintf("%s.models[%d]", path, i)
		models.add(at+".name", modelName(m))
		c.model(at, m)
	}
}

func (c *checker) model(path string, m *ModelSpec) {
	c.name(path+".name", m.Name)
	if m.Version != "" {
		c.name(path+".version", m.Version)
	}
	c.memory(path+".memory_bytes", m.MemoryBytes)
	adapters := newNames(c, "adapter")
	for i := range m.Adapters {
		a := &m.Adapters[i]
		at := path + ".adapters[" + strconv.Itoa(i) + "]"
		adapters.add(at+".name", a.Name)
		c.name(at+".name", a.Name)
		c.memory(at+".memory_bytes", a.MemoryBytes)
	}
}

func (c *checker) memory(path string, bytes int64) {
	if bytes > maxMemoryBytes {
		c.add(path, "at most 16 TiB, given in bytes", "memory of %d bytes is not plausible", bytes)
	}
}

// name checks a name that becomes part of a replica key.
func (c *checker) name(path, name string) {
	if name == "" || len(name) > maxNameBytes || strings.ContainsAny(name, "/@+ \t\r\n") {
		c.add(path, nameWant, "name %q is not valid", name)
	}
}

func modelName(m *ModelSpec) string {
	if m.Version == "" {
		return m.Name
	}
	return m.Name + "@" + m.Version
}

// names finds names that stand twice.
type names struct {
	c     *checker
	what  string
	first map[string]string
}

func newNames(c *checker, what string) *names {
	return &names{c: c, what: what, first: map[string]string{}}
}

func (n *names) add(path, name string) {
	if at, ok := n.first[name]; ok {
		n.c.add(path, "a unique name", "%s %q is already declared at %s", n.what, name, at)
		return
	}
	n.first[name] = path
}
