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
	// maxMemoryBytes is the largest plausible memory of one replica, 16 TiB.
	maxMemoryBytes = 16 << 40
	// maxNameBytes is the maximum length, in bytes, of the names of models, versions and
	// adapters. wantName gives it in characters, which holds for ASCII names.
	maxNameBytes = 128
	// wantName describes the valid names of models, versions and adapters.
	wantName = "1 to 128 characters without spaces, '/', '@' and '+'"
)

// fieldChecks validates fields by their struct tag validate.
var fieldChecks = newFieldChecks()

// newFieldChecks returns a validator that names fields as in YAML.
func newFieldChecks() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		return name
	})
	return v
}

// Validate returns the problems of a subtree, nil if it is valid. Whether another team
// already uses its service names and API keys is checked by Repository.Apply.
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

// checker collects the problems of one subtree.
type checker struct {
	problems []Problem
}

// addProblem adds a problem at path. format and args describe what is wrong, want
// what would be valid.
func (c *checker) addProblem(path, want, format string, args ...any) {
	c.problems = append(c.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...), Want: want})
}

// checkFields adds a problem for each validate tag that a field violates.
func (c *checker) checkFields(spec *TeamSpec) {
	err := fieldChecks.Struct(spec)
	if err == nil {
		return
	}
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) {
		c.addProblem("", "", "%s", err.Error())
		return
	}
	for _, violation := range violations {
		_, path, _ := strings.Cut(violation.Namespace(), ".")
		c.addProblem(path, wantForTag(violation), "value %s is not valid", formatValue(violation.Value()))
	}
}

// formatValue returns v as text for a message, a string in quotes.
func formatValue(v any) string {
	if rv := reflect.ValueOf(v); rv.Kind() == reflect.String {
		return strconv.Quote(rv.String())
	}
	return fmt.Sprint(v)
}

// wantForTag describes the values that a violated validate tag allows.
func wantForTag(violation validator.FieldError) string {
	switch violation.Tag() {
	case "required":
		return "a value"
	case "hostname_rfc1123":
		return "letters, digits and hyphens"
	case "len":
		return "a SHA-256 digest of " + violation.Param() + " hexadecimal digits"
	case "hexadecimal":
		return "hexadecimal digits"
	case "oneof":
		return "one of " + strings.ReplaceAll(violation.Param(), " ", ", ")
	case "min":
		return "at least " + violation.Param()
	case "max":
		return "at most " + violation.Param()
	case "gt":
		return "more than " + violation.Param()
	case "startswith":
		return "a value that starts with " + violation.Param()
	}
	return violation.Tag() + " " + violation.Param()
}

// checkCallers checks that callers, API keys and operator tokens are unique, that
// digests are in lower case, as DigestKey returns them, and that the callers' services
// exist.
func (c *checker) checkCallers(spec *TeamSpec) {
	services := map[fleet.Service]bool{}
	for i := range spec.Services {
		services[spec.Services[i].Name] = true
	}
	names, digests := newNameSet(c, "caller"), newNameSet(c, "API key")
	for i, caller := range spec.Callers {
		path := fmt.Sprintf("callers[%d]", i)
		names.add(path+".name", caller.Name)
		digests.add(path+".key_sha256", strings.ToLower(caller.KeyDigest))
		if caller.KeyDigest != strings.ToLower(caller.KeyDigest) {
			c.addProblem(path+".key_sha256", "lower-case hexadecimal digits", "digest %q has upper-case digits", caller.KeyDigest)
		}
		if !services[caller.Service] {
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

// checkService checks that a service has the fields of its kind and no others, and
// checks its models.
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
		modelPath := fmt.Sprintf("%s.models[%d]", path, i)
		models.add(modelPath+".name", modelName(m))
		c.checkModel(modelPath, m)
	}
}

// checkModel checks the names and the memory of a model and its adapters.
func (c *checker) checkModel(path string, model *ModelSpec) {
	c.checkName(path+".name", model.Name)
	if model.Version != "" {
		c.checkName(path+".version", model.Version)
	}
	c.checkMemory(path+".memory_bytes", model.MemoryBytes)
	adapters := newNameSet(c, "adapter")
	for i := range model.Adapters {
		adapter := &model.Adapters[i]
		adapterPath := path + ".adapters[" + strconv.Itoa(i) + "]"
		adapters.add(adapterPath+".name", adapter.Name)
		c.checkName(adapterPath+".name", adapter.Name)
		c.checkMemory(adapterPath+".memory_bytes", adapter.MemoryBytes)
	}
}

// checkMemory checks that a size in bytes is plausible.
func (c *checker) checkMemory(path string, bytes int64) {
	if bytes > maxMemoryBytes {
		c.addProblem(path, "at most 16 TiB, given in bytes", "memory of %d bytes is not plausible", bytes)
	}
}

// checkName checks a name that becomes part of a replica key, in which '/', '@' and
// '+' are separators.
func (c *checker) checkName(path, name string) {
	if name == "" || len(name) > maxNameBytes || strings.ContainsAny(name, "/@+ \t\r\n") {
		c.addProblem(path, wantName, "name %q is not valid", name)
	}
}

// modelName returns the name of a model version, model[@version].
func modelName(m *ModelSpec) string {
	if m.Version == "" {
		return m.Name
	}
	return m.Name + "@" + m.Version
}

// nameSet detects names of one kind that are declared twice.
type nameSet struct {
	c         *checker
	kind      string
	firstPath map[string]string
}

// newNameSet returns an empty set that adds its problems to c. kind is the kind of
// the names in messages.
func newNameSet(c *checker, kind string) *nameSet {
	return &nameSet{c: c, kind: kind, firstPath: map[string]string{}}
}

// add adds the name declared at path. If the set already has it, add adds a problem.
func (n *nameSet) add(path, name string) {
	if first, ok := n.firstPath[name]; ok {
		n.c.addProblem(path, "a unique name", "%s %q is already declared at %s", n.kind, name, first)
		return
	}
	n.firstPath[name] = path
}
