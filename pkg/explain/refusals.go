package explain

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/alexflint/go-arg"
)

// defaultTopModels is the number of models that are listed without --models.
const defaultTopModels = 20

// heldMillis is the wait in milliseconds from which a refused request counts as held:
// later than the scheduler refuses new requests.
const heldMillis = 250

// refusalArguments are the arguments of the command "almondturnctl refusals".
type refusalArguments struct {
	Files  []string `arg:"positional" placeholder:"FILE" help:"log files of the nodes; default: standard input"`
	Models int      `arg:"--models" placeholder:"N" help:"number of models to list; default: 20"`
}

// Description returns the text that go-arg prints above the flags on --help.
func (refusalArguments) Description() string {
	return "Sums the refusals of slots in the logs of all nodes by cause and model. Referrals to other zones are counted apart."
}

// refusalCause is why an owner refused a slot.
type refusalCause uint8

// Causes of refusals, in the order of their names.
const (
	causeReferred refusalCause = iota
	causeHeld
	causeOwnerNotReady
	causeLoadCrashes
	causeReplicasFull
	causeStoreLoadLate
	causeLocalLoadLate
	causeOther
	causeEnd // the number of causes
)

// causeNames are the headings of the causes.
var causeNames = [causeEnd]string{"other zone", "held", "no orders yet", "load crashes", "replicas full", "store load late", "local load late", "other"}

// placeRefused holds the fields of the event place_refused that decide its cause.
// Times are in milliseconds.
type placeRefused struct {
	Name              string  `json:"name"`
	Model             string  `json:"model"`
	Reason            string  `json:"reason"`
	WaitedMillis      float64 `json:"waited_ms"`
	ExpectedMillis    float64 `json:"expected_ms"`
	ReadyReplicas     int     `json:"usable"`
	TargetsWithCopy   int     `json:"copies"`
	OrdersAfterMillis float64 `json:"orders_after_ms"`
	LoadCrashes       int     `json:"load_crashes"`
}

// cause returns the cause of a refusal.
func (p *placeRefused) cause() refusalCause {
	switch {
	case p.Reason == "elsewhere":
		return causeReferred
	case p.LoadCrashes > 0:
		return causeLoadCrashes
	case p.WaitedMillis >= heldMillis:
		return causeHeld
	case p.OrdersAfterMillis > 0:
		return causeOwnerNotReady
	case p.ReadyReplicas > 0:
		return causeReplicasFull
	case p.TargetsWithCopy > 0:
		return causeLocalLoadLate
	case p.ExpectedMillis > 0:
		return causeStoreLoadLate
	default:
		return causeOther
	}
}

// causeCounts counts refusals by cause.
type causeCounts [causeEnd]int

// refused returns the number of refusals that ended a request.
func (c *causeCounts) refused() int {
	n := 0
	for cause := causeReferred + 1; cause < causeEnd; cause++ {
		n += c[cause]
	}
	return n
}

// refusalSums sums refusals by model.
type refusalSums struct{ byModel map[string]*causeCounts }

// read adds the lines of a log. It ignores lines without a JSON object. It returns an
// error if r fails or a line is longer than maxLineBytes.
func (s *refusalSums) read(r io.Reader) error {
	in := bufio.NewScanner(r)
	in.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for in.Scan() {
		text := in.Text()
		i := strings.IndexByte(text, '{')
		var line placeRefused
		if i < 0 || json.Unmarshal([]byte(text[i:]), &line) != nil || line.Name != "place_refused" {
			continue
		}
		counts := s.byModel[line.Model]
		if counts == nil {
			counts = new(causeCounts)
			s.byModel[line.Model] = counts
		}
		counts[line.cause()]++
	}
	return in.Err()
}

// write prints the sums of all models, and those of the models with most refusals.
func (s *refusalSums) write(out io.Writer, models int) error {
	names := make([]string, 0, len(s.byModel))
	var total causeCounts
	for name, counts := range s.byModel {
		names = append(names, name)
		for cause, n := range counts {
			total[cause] += n
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.byModel[b].refused(), s.byModel[a].refused()), cmp.Compare(a, b))
	})
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "MODEL\tREFUSED\t%s\n", strings.ToUpper(strings.Join(causeNames[:], "\t")))
	writeCounts(w, "all", &total)
	for _, name := range names[:min(models, len(names))] {
		writeCounts(w, name, s.byModel[name])
	}
	return w.Flush()
}

// writeCounts prints one row of the table.
func writeCounts(w io.Writer, name string, c *causeCounts) {
	fmt.Fprintf(w, "%s\t%d", name, c.refused())
	for _, n := range c {
		fmt.Fprintf(w, "\t%d", n)
	}
	fmt.Fprintln(w)
}

// RefusalsMain runs the command "almondturnctl refusals" with argv, the arguments
// after the command's name, and returns its exit code: 0, or 1 after an error, which
// it writes to stderr.
func RefusalsMain(_ context.Context, argv []string, stdout, stderr io.Writer) int {
	a := refusalArguments{Models: defaultTopModels}
	p, err := arg.NewParser(arg.Config{Program: "almondturnctl refusals"}, &a)
	if err == nil {
		err = p.Parse(argv)
	}
	if errors.Is(err, arg.ErrHelp) {
		p.WriteHelp(stdout)
		return 0
	}
	if err == nil {
		err = sumRefusals(&a, os.Stdin, stdout)
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return 1
	}
	return 0
}

// sumRefusals writes the sums of the files to out. It reads stdin if no file is given.
func sumRefusals(a *refusalArguments, stdin io.Reader, out io.Writer) error {
	if a.Models < 0 {
		return fmt.Errorf("--models %d is negative", a.Models)
	}
	sums := refusalSums{byModel: map[string]*causeCounts{}}
	if len(a.Files) == 0 {
		if err := sums.read(stdin); err != nil {
			return fmt.Errorf("standard input: %w", err)
		}
	}
	for _, name := range a.Files {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		err = sums.read(f)
		_ = f.Close() // read-only, so no written data can be lost
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return sums.write(out, a.Models)
}
