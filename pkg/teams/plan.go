package teams

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"almondturn/fleet"
	"almondturn/pkg/kv"
)

// Bounds of one transaction.
const (
	// maxTransactionEntries is the maximum number of entries that one transaction writes
	// and deletes, and of those whose revision it expects.
	maxTransactionEntries = 32
	// maxTransactionBytes bounds the values of a transaction that writes more than one
	// team.
	maxTransactionBytes = 2 * maxRecordBytes
)

// RestoreStep is one of the transactions, in order, that bring accepted settings back
// which were lost when the key-value service was restored from an older copy. Each expects
// that the settings are as they were listed; the last one counts the changes.
type RestoreStep struct {
	Transaction kv.Transaction
	// Teams and Drains are what the transaction brings back.
	Teams  []RestoredTeam
	Drains []RestoredDrain
	// Change is the number of the last change after the last step; 0 in the others.
	Change int64
	// Lost are the changes that can't be brought back; empty except in the last step.
	Lost []LostChange
}

// RestoredTeam is a revision of a team that is brought back.
type RestoredTeam struct {
	Team fleet.Team
	RevisionInfo
	// CopyRevision is the revision that the service came back with, 0 for none. The
	// revisions between it and Revision are missing in the history.
	CopyRevision uint64
}

// RestoredDrain is a drain, or the end of one, that is brought back.
type RestoredDrain struct {
	Target  string
	Drained bool
}

// LostChange is an accepted revision of a team that is not brought back.
type LostChange struct {
	Team fleet.Team
	RevisionInfo
	Reason string
}

// Reasons in a LostChange.
const (
	reasonChangedSince = "it was changed again after the restore"
	reasonNameTaken    = "after the restore, another team has taken the name of a service or an API key"
)

// restorePlanner builds the steps of PlanRestore.
type restorePlanner struct {
	held, listed               *acceptedSettings
	heldEntries, listedEntries map[string]kv.Entry
	// restored are the records to bring back.
	restored map[fleet.Team]*Record
	// drained and undrained are the targets to drain and those whose drain is to end.
	drained, undrained []string
	// final are the records after the plan.
	final map[fleet.Team]*Record
	lost  []LostChange
	steps []RestoreStep
}

// PlanRestore compares the entries below Prefix that a node holds from a former era with
// those that were listed in a later one, and returns how to bring back what the latter
// lack. Changes that were accepted in the later era are kept. There are no steps if the
// listed settings contain all changes of the held ones.
func PlanRestore(held, listed map[string]kv.Entry, era kv.Era) ([]RestoreStep, error) {
	heldSettings, err := (&entryList{entries: held}).decode()
	if err != nil {
		return nil, err
	}
	listedSettings, err := (&entryList{listed, era}).decode()
	if err != nil {
		return nil, err
	}
	p := &restorePlanner{
		held: heldSettings, listed: listedSettings, heldEntries: held, listedEntries: listed,
		restored: map[fleet.Team]*Record{}, final: maps.Clone(listedSettings.records),
	}
	if p.held.counter.Change <= p.listed.formerChange() {
		return p.steps, nil
	}
	p.compareTeams()
	p.dropNameConflicts()
	p.compareDrains()
	p.addSteps()
	return p.steps, nil
}

// formerChange returns the number of the last change of former eras that the settings
// contain.
func (a *acceptedSettings) formerChange() int64 {
	if a.era != 0 && a.counter.Era == a.era {
		return a.counter.Former
	}
	return a.counter.Change
}

// compareRecords orders two records of a team by the time of their acceptance; nil is
// before all others.
func compareRecords(a, b *Record) int {
	switch {
	case a == nil && b == nil:
		return 0
	case a == nil:
		return -1
	case b == nil:
		return 1
	}
	return cmp.Or(cmp.Compare(a.Era, b.Era), cmp.Compare(a.ChangeNumber, b.ChangeNumber))
}

// compareTeams finds the records to bring back, and those that were changed since.
func (p *restorePlanner) compareTeams() {
	for team, held := range p.held.records {
		listed := p.listed.records[team]
		switch order := compareRecords(held, listed); {
		case order > 0:
			p.restored[team], p.final[team] = held, held
		case order < 0 && listed.Revision <= held.Revision:
			p.loseTeam(held, reasonChangedSince)
		}
	}
}

// loseTeam reports a record as lost, and keeps the listed one.
func (p *restorePlanner) loseTeam(held *Record, reason string) {
	team := held.Spec.Team
	p.lost = append(p.lost, LostChange{Team: team, RevisionInfo: held.RevisionInfo, Reason: reason})
	delete(p.restored, team)
	if listed := p.listed.records[team]; listed != nil {
		p.final[team] = listed
	} else {
		delete(p.final, team)
	}
}

// dropNameConflicts keeps listed records instead of those to bring back that use names
// which teams without a record to bring back use. It repeats this, because a listed
// record that is kept may use names again that its successor did not use.
func (p *restorePlanner) dropNameConflicts() {
	for {
		kept := &acceptedSettings{records: map[fleet.Team]*Record{}}
		for team, record := range p.final {
			if p.restored[team] == nil {
				kept.records[team] = record
			}
		}
		conflicts := 0
		for _, record := range sortedRecords(p.restored) {
			if kept.checkUnique(record.Spec) != nil {
				p.loseTeam(record, reasonNameTaken)
				conflicts++
			}
		}
		if conflicts == 0 {
			return
		}
	}
}

// sortedRecords returns the records in the order of their acceptance.
func sortedRecords(records map[fleet.Team]*Record) []*Record {
	return slices.SortedFunc(maps.Values(records), compareRecords)
}

// compareDrains finds the drains, and ends of drains, to bring back. Those of the later
// era are kept.
func (p *restorePlanner) compareDrains() {
	undrainedSince := map[string]bool{}
	if p.listed.counter.Era == p.listed.era {
		for _, target := range p.listed.counter.Undrained {
			undrainedSince[target] = true
		}
	}
	for _, target := range slices.Sorted(maps.Keys(p.held.drains)) {
		_, listed := p.listed.drains[target]
		if !listed && !undrainedSince[target] {
			p.drained = append(p.drained, target)
		}
	}
	for _, target := range slices.Sorted(maps.Keys(p.listed.drains)) {
		_, held := p.held.drains[target]
		drainedSince := p.listed.drains[target].Era == p.listed.era
		if !held && !drainedSince {
			p.undrained = append(p.undrained, target)
		}
	}
}

// addSteps adds the transactions that write the records and drains, and in the last one
// the counter.
func (p *restorePlanner) addSteps() {
	step := p.newStep()
	for _, record := range sortedRecords(p.restored) {
		step = p.add(step, p.teamStep(record))
	}
	for _, target := range p.drained {
		step = p.add(step, p.drainStep(target, true))
	}
	for _, target := range p.undrained {
		step = p.add(step, p.drainStep(target, false))
	}
	counter := p.counter()
	step = p.add(step, &RestoreStep{
		Transaction: kv.Transaction{Put: []kv.Entry{{Key: changeCounterKey, Value: counter.encode()}}}, Change: counter.Change, Lost: p.lost,
	})
	p.steps = append(p.steps, *step)
}

// newStep returns an empty step, which expects that the counter is as it was listed.
func (p *restorePlanner) newStep() *RestoreStep {
	return &RestoreStep{Transaction: kv.Transaction{Expect: map[string]kv.Revision{changeCounterKey: p.listed.counterRevision}}}
}

// add appends what part does to step, or to a new one if that would exceed the bounds of
// a transaction. It returns the step to continue with.
func (p *restorePlanner) add(step, part *RestoreStep) *RestoreStep {
	a, b := &step.Transaction, &part.Transaction
	entries := len(a.Put) + len(a.Delete) + len(b.Put) + len(b.Delete)
	full := entries > maxTransactionEntries || len(a.Expect)+len(b.Expect) > maxTransactionEntries ||
		valueBytes(a)+valueBytes(b) > maxTransactionBytes
	if full && len(a.Put)+len(a.Delete) > 0 {
		p.steps = append(p.steps, *step)
		step = p.newStep()
		a = &step.Transaction
	}
	maps.Copy(a.Expect, b.Expect)
	a.Put, a.Delete = append(a.Put, b.Put...), append(a.Delete, b.Delete...)
	step.Teams, step.Drains = append(step.Teams, part.Teams...), append(step.Drains, part.Drains...)
	step.Change, step.Lost = part.Change, part.Lost
	return step
}

// valueBytes returns the size of the values that a transaction writes.
func valueBytes(txn *kv.Transaction) int {
	size := 0
	for _, e := range txn.Put {
		size += len(e.Value)
	}
	return size
}

// teamStep returns what brings a record back: it becomes the accepted one again, and the
// listed one moves to the history, from which revisions are deleted that are then too old.
func (p *restorePlanner) teamStep(record *Record) *RestoreStep {
	team := record.Spec.Team
	key := teamKey(team)
	step := &RestoreStep{
		Transaction: kv.Transaction{Expect: map[string]kv.Revision{key: p.listed.storeRevisions[key]}, Put: []kv.Entry{{Key: key, Value: p.heldEntries[key].Value}}},
		Teams:       []RestoredTeam{{Team: team, RevisionInfo: record.RevisionInfo}},
	}
	listed := p.listed.records[team]
	if listed == nil || listed.Revision >= record.Revision {
		return step
	}
	step.Teams[0].CopyRevision = listed.Revision
	txn := &step.Transaction
	oldest := max(record.Revision, maxHistoryRevisions+1) - maxHistoryRevisions
	if listed.Revision >= oldest {
		txn.Put = append(txn.Put, kv.Entry{Key: historyKey(team, listed.Revision), Value: p.listedEntries[key].Value})
	}
	first := max(listed.Revision, maxHistoryRevisions+1) - maxHistoryRevisions
	for revision := first; revision < min(oldest, listed.Revision); revision++ {
		txn.Delete = append(txn.Delete, historyKey(team, revision))
	}
	return step
}

// drainStep returns what drains a target again, or ends its drain again.
func (p *restorePlanner) drainStep(target string, drained bool) *RestoreStep {
	key := drainPrefix + target
	step := &RestoreStep{
		Transaction: kv.Transaction{Expect: map[string]kv.Revision{key: p.listed.storeRevisions[key]}},
		Drains:      []RestoredDrain{{target, drained}},
	}
	if drained {
		step.Transaction.Put = []kv.Entry{{Key: key, Value: p.heldEntries[key].Value}}
	} else {
		step.Transaction.Delete = []string{key}
	}
	return step
}

// counter returns the counter after the plan. Its number is that of the held settings if
// the result equals them, and otherwise a new one, so that nodes which have the held
// settings in force put the result in force.
func (p *restorePlanner) counter() changeCounter {
	c := changeCounter{Change: max(p.held.counter.Change, p.listed.counter.Change), Era: p.listed.era, Former: p.held.counter.Change}
	if p.listed.counter.Era == p.listed.era {
		c.Undrained = p.listed.counter.Undrained
	}
	if !p.equalsHeld() {
		c.Change++
	}
	return c
}

// equalsHeld reports whether the settings after the plan are the held ones.
func (p *restorePlanner) equalsHeld() bool {
	sameRecord := func(a, b *Record) bool { return compareRecords(a, b) == 0 }
	if !maps.EqualFunc(p.final, p.held.records, sameRecord) {
		return false
	}
	final := maps.Clone(p.listed.drains)
	for _, target := range p.drained {
		final[target] = drain{}
	}
	for _, target := range p.undrained {
		delete(final, target)
	}
	return maps.EqualFunc(final, p.held.drains, func(drain, drain) bool { return true })
}

// appliedIn reports whether entries hold all that the step writes below Prefix, and none
// of what it deletes there.
func (s *RestoreStep) appliedIn(entries map[string]kv.Entry) bool {
	for _, e := range s.Transaction.Put {
		if strings.HasPrefix(e.Key, Prefix) && string(entries[e.Key].Value) != string(e.Value) {
			return false
		}
	}
	for _, key := range s.Transaction.Delete {
		if _, exists := entries[key]; exists && strings.HasPrefix(key, Prefix) {
			return false
		}
	}
	return true
}
