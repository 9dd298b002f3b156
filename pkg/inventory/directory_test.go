package inventory

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"almondturn/pkg/kv"
)

var now = time.Unix(1_700_000_000, 0)

// at returns a registration at a counter of an era.
func at(era kv.Era, counter uint64, t Target) Registration {
	return Registration{Revision: kv.Revision(counter).InEra(era), Target: &t}
}

// only returns the single target of a directory, nil for none.
func only(d *Directory) *Target {
	list := d.Targets()
	if len(list) == 0 {
		return nil
	}
	return list[0]
}

// Guards against requests to a draining target, and loads on a target whose memory is
// taken, because the restored service lists older entries.
func TestOlderEntryOfARestoredServiceDoesNotReplaceANewerOne(t *testing.T) {
	known := at(1, 50, Target{ID: "a", Incarnation: 7, Sequence: 3, Models: []LoadedModel{{Name: "new"}}})
	draining := *known.Target
	draining.Draining = true
	for name, c := range map[string]struct {
		known, listed Registration
		kept          bool
		limited       bool // until the target must have registered again
	}{
		"fewer orders":                   {known, at(2, 40, Target{ID: "a", Incarnation: 7, Sequence: 2}), true, false},
		"the same orders, older":         {known, at(2, 40, Target{ID: "a", Incarnation: 7, Sequence: 3}), true, true},
		"ready again":                    {Registration{known.Revision, &draining}, at(2, 60, Target{ID: "a", Incarnation: 7, Sequence: 3}), true, false},
		"an earlier incarnation":         {known, at(2, 60, Target{ID: "a", Incarnation: 6, Sequence: 9}), true, false},
		"an invalid entry":               {known, Registration{Revision: kv.Revision(40).InEra(2)}, true, true},
		"more orders, written again":     {known, at(2, 45, Target{ID: "a", Incarnation: 7, Sequence: 4}), false, false},
		"the same orders, not seen yet":  {known, at(2, 60, Target{ID: "a", Incarnation: 7, Sequence: 3}), false, false},
		"draining now":                   {known, at(2, 40, Target{ID: "a", Incarnation: 7, Sequence: 3, Draining: true}), false, false},
		"a later incarnation":            {known, at(2, 40, Target{ID: "a", Incarnation: 8}), false, false},
		"a later incarnation than drain": {Registration{known.Revision, &draining}, at(2, 40, Target{ID: "a", Incarnation: 8}), false, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := NewDirectory()
			d.Replace(now, 1, map[string]Registration{"a": c.known})
			summary := d.Replace(now, 2, map[string]Registration{"a": c.listed})
			if c.kept {
				assert.Equal(t, RestoreSummary{Older: 1}, summary)
				assert.Same(t, c.known.Target, only(d))
				assert.Equal(t, !c.limited, d.NextExpiry().IsZero(), "without a limit only if the entry is certainly older")
				assert.Equal(t, c.limited, d.Expire(now.Add(absentTime)))
				if c.limited {
					assert.Equal(t, c.listed.Target, only(d), "the target would have registered again")
				}
			} else {
				assert.Zero(t, summary)
				assert.Same(t, c.listed.Target, only(d))
			}
			again := at(2, 70, Target{ID: "a", Incarnation: 9})
			d.Put("a", again)
			assert.Same(t, again.Target, only(d), "the target has registered again")
		})
	}
}

// Guards against requests to a target that is gone, and whose address may have been
// given to another one, because the restored service lists it again.
func TestRemovedTargetStaysRemovedWhenTheServiceIsRestored(t *testing.T) {
	gone := at(1, 50, Target{ID: "a", Incarnation: 7})
	for name, remove := range map[string]func(*Directory){
		"by a change": func(d *Directory) { d.Delete(now, "a") },
		"by a list":   func(d *Directory) { d.Replace(now, 1, nil) },
	} {
		t.Run(name, func(t *testing.T) {
			d := NewDirectory()
			d.Replace(now, 1, map[string]Registration{"a": gone})
			remove(d)
			listed := at(2, 50, Target{ID: "a", Incarnation: 7})
			assert.Equal(t, RestoreSummary{Removed: 1}, d.Replace(now, 2, map[string]Registration{"a": listed}))
			assert.Nil(t, only(d))
			d.Replace(now, 2, map[string]Registration{"a": listed})
			assert.Nil(t, only(d), "also after another list of the same era")
			assert.False(t, d.Expire(now.Add(hiddenTime-time.Millisecond)))
			assert.True(t, d.Expire(now.Add(hiddenTime)))
			assert.Same(t, listed.Target, only(d), "the service still has its entry: it is alive")
		})
	}
}

func TestRemovedTargetThatStartsAgainIsListed(t *testing.T) {
	for name, restart := range map[string]func(*Directory) *Target{
		"as another incarnation": func(d *Directory) *Target {
			r := at(2, 40, Target{ID: "a", Incarnation: 8})
			d.Replace(now, 2, map[string]Registration{"a": r})
			return r.Target
		},
		"by a change": func(d *Directory) *Target {
			d.Replace(now, 2, map[string]Registration{"a": at(2, 40, Target{ID: "a", Incarnation: 7})})
			r := at(2, 60, Target{ID: "a", Incarnation: 7})
			d.Put("a", r)
			return r.Target
		},
		"by a later list": func(d *Directory) *Target {
			d.Replace(now, 2, map[string]Registration{"a": at(2, 40, Target{ID: "a", Incarnation: 7})})
			r := at(2, 60, Target{ID: "a", Incarnation: 7})
			d.Replace(now, 2, map[string]Registration{"a": r})
			return r.Target
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := NewDirectory()
			d.Replace(now, 1, map[string]Registration{"a": at(1, 50, Target{ID: "a", Incarnation: 7})})
			d.Delete(now, "a")
			assert.Same(t, restart(d), only(d))
		})
	}
}

// Guards against sound targets that are not used, because they registered after the copy
// was made and have not yet registered again.
func TestTargetThatARestoredServiceLacksIsKeptForAWhile(t *testing.T) {
	known := at(1, 50, Target{ID: "a", Incarnation: 7})
	d := NewDirectory()
	d.Replace(now, 1, map[string]Registration{"a": known})
	assert.Equal(t, RestoreSummary{Absent: 1}, d.Replace(now, 2, nil))
	assert.Same(t, known.Target, only(d))
	assert.Zero(t, d.Replace(now, 2, nil))
	assert.Same(t, known.Target, only(d), "also after another list of the same era")
	assert.Equal(t, now.Add(absentTime), d.NextExpiry())
	assert.True(t, d.Expire(now.Add(absentTime)))
	assert.Nil(t, only(d), "it has not registered again: it is gone")
	d.Replace(now, 3, map[string]Registration{"a": at(3, 50, Target{ID: "a", Incarnation: 7})})
	assert.Nil(t, only(d), "and stays gone at the next restore")
}

// What is kept at a first restore is kept at a second one.
func TestTwoRestoresKeepWhatIsKnown(t *testing.T) {
	known := at(1, 50, Target{ID: "a", Incarnation: 7, Draining: true})
	d := NewDirectory()
	d.Replace(now, 1, map[string]Registration{"a": known, "b": at(1, 51, Target{ID: "b", Incarnation: 1})})
	d.Delete(now, "b")
	older := map[string]Registration{"a": at(2, 40, Target{ID: "a", Incarnation: 7}), "b": at(2, 41, Target{ID: "b", Incarnation: 1})}
	d.Replace(now, 2, older)
	again := map[string]Registration{"a": at(3, 40, Target{ID: "a", Incarnation: 7}), "b": at(3, 41, Target{ID: "b", Incarnation: 1})}
	assert.Equal(t, RestoreSummary{Older: 1, Removed: 1}, d.Replace(now.Add(time.Second), 3, again))
	assert.Same(t, known.Target, only(d))
	assert.Len(t, d.Targets(), 1)
}

// Lists of one era replace each other, as do those of a service without eras.
func TestListOfTheSameEraReplacesAll(t *testing.T) {
	for _, era := range []kv.Era{0, 1} {
		d := NewDirectory()
		d.Replace(now, era, map[string]Registration{"a": at(era, 50, Target{ID: "a", Draining: true}), "b": at(era, 51, Target{ID: "b"})})
		assert.Zero(t, d.Replace(now, era, map[string]Registration{"b": at(era, 40, Target{ID: "b"})}))
		assert.Equal(t, "b", only(d).ID)
		assert.Len(t, d.Targets(), 1)
	}
}

func TestSetModelsReplacesThoseOfKeptTargets(t *testing.T) {
	d := NewDirectory()
	d.Replace(now, 1, map[string]Registration{"a": at(1, 50, Target{ID: "a"}), "b": at(1, 51, Target{ID: "b"})})
	d.Replace(now, 2, map[string]Registration{"b": at(2, 51, Target{ID: "b"})})
	d.SetModels(map[string][]LoadedModel{"a": {{Name: "m"}}, "b": {{Name: "m"}}})
	for _, target := range d.Targets() {
		assert.True(t, target.HasLoaded("m", ""), target.ID)
	}
	ids := map[string]bool{}
	for _, target := range d.Targets() {
		ids[target.ID] = true
	}
	assert.ElementsMatch(t, []string{"a", "b"}, slices.Collect(maps.Keys(ids)))
}

// Guards against a sound target that gets no requests for hiddenTime after a restore,
// because it was once removed, is listed again, and was not forgotten as removed.
func TestTargetThatIsListedAgainIsNotHiddenByALaterRestore(t *testing.T) {
	listed := func(era kv.Era) map[string]Registration {
		return map[string]Registration{"a": at(era, 50, Target{ID: "a", Incarnation: 7})}
	}
	again := func(era kv.Era) map[string]Registration {
		return map[string]Registration{"a": at(era, 60, Target{ID: "a", Incarnation: 7})}
	}
	for name, relist := range map[string]func(*Directory) kv.Era{
		"by a change": func(d *Directory) kv.Era {
			d.Put("a", again(1)["a"])
			return 1
		},
		"by a list after an outage": func(d *Directory) kv.Era {
			d.Replace(now, 1, again(1))
			return 1
		},
		"when its entry has outlasted a restore": func(d *Directory) kv.Era {
			d.Replace(now, 2, listed(2))
			assert.Nil(t, only(d))
			assert.True(t, d.Expire(now.Add(hiddenTime)))
			return 2
		},
		"by a list after a restore": func(d *Directory) kv.Era {
			d.Replace(now, 2, listed(2))
			assert.Nil(t, only(d))
			d.Replace(now, 2, again(2))
			return 2
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := NewDirectory()
			d.Replace(now, 1, listed(1))
			d.Delete(now, "a")
			era := relist(d)
			assert.NotNil(t, only(d))
			summary := d.Replace(now, era+1, again(era+1))
			assert.Zero(t, summary.Removed)
			assert.NotNil(t, only(d))
		})
	}
}

// Guards against a target that started again and is hidden after a second restore, whose
// copy is from before its removal.
func TestTargetThatStartedAgainOutlastsASecondRestore(t *testing.T) {
	d := NewDirectory()
	d.Replace(now, 1, map[string]Registration{"a": at(1, 50, Target{ID: "a", Incarnation: 7})})
	d.Delete(now, "a")
	restarted := at(2, 40, Target{ID: "a", Incarnation: 8})
	d.Replace(now, 2, map[string]Registration{"a": restarted})
	assert.Same(t, restarted.Target, only(d))
	summary := d.Replace(now, 3, map[string]Registration{"a": at(3, 30, Target{ID: "a", Incarnation: 7})})
	assert.Equal(t, RestoreSummary{Older: 1}, summary)
	assert.Same(t, restarted.Target, only(d))
}

// Guards against a target that started again and is replaced by what was known of it when
// a first restore lacked it.
func TestSecondRestoreDecidesAnewWhatIsKept(t *testing.T) {
	d := NewDirectory()
	d.Replace(now, 1, map[string]Registration{"a": at(1, 50, Target{ID: "a", Incarnation: 7})})
	assert.Equal(t, RestoreSummary{Absent: 1}, d.Replace(now, 2, nil))
	restarted := at(3, 40, Target{ID: "a", Incarnation: 8})
	assert.Zero(t, d.Replace(now, 3, map[string]Registration{"a": restarted}))
	assert.Same(t, restarted.Target, only(d))
}

// Guards against a removed target that is forgotten when another one is removed.
func TestAllTargetsThatWereRemovedStayRemoved(t *testing.T) {
	listed := func(era kv.Era) map[string]Registration {
		return map[string]Registration{"a": at(era, 50, Target{ID: "a"}), "b": at(era, 51, Target{ID: "b"})}
	}
	d := NewDirectory()
	d.Replace(now, 1, listed(1))
	d.Delete(now, "a")
	d.Delete(now.Add(time.Second), "b")
	assert.Equal(t, RestoreSummary{Removed: 2}, d.Replace(now.Add(2*time.Second), 2, listed(2)))
	assert.Empty(t, d.Targets())
}
