package quarantine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/quarantine"
)

// Guards against several requests in one trial window, and against a trial that is never granted again because an
// earlier term had as many windows.
func TestTrialIsGrantedOnceInEachTerm(t *testing.T) {
	t.Parallel()
	var trials quarantine.Trials
	now := epoch
	require.False(t, trials.IsGranted(now, 1, 1))
	require.True(t, trials.Grant(now, 1, 3))
	require.True(t, trials.IsGranted(now, 1, 3))
	require.False(t, trials.Grant(now.Add(time.Second), 1, 3))
	require.False(t, trials.Grant(now.Add(time.Second), 1, 2), "an earlier window")
	require.True(t, trials.Grant(now.Add(4*time.Second), 1, 4))
	require.True(t, trials.Grant(now, 2, 1), "something else")
	require.True(t, trials.Grant(now.Add(5*time.Minute), 1, 1), "the next term")
}

// Guards against requests that are sent at any time once a term is over.
func TestTrialsAreInTheFirstPartOfEachWindow(t *testing.T) {
	t.Parallel()
	var terms quarantine.Terms[string]
	require.Equal(t, quarantine.Decision{}, terms.Check(epoch, "a"))
	term := terms.Start(epoch, "a")
	require.Equal(t, quarantine.Decision{Wait: term.Length}, terms.Check(epoch, "a"))
	require.Equal(t, quarantine.Decision{Trial: 1}, terms.Check(term.Until, "a"))
	require.Equal(t, quarantine.Decision{Wait: time.Second}, terms.Check(term.Until.Add(3*time.Second), "a"))
	require.Equal(t, quarantine.Decision{Trial: 2}, terms.Check(term.Until.Add(5*time.Second), "a"))
	require.Equal(t, 3*time.Second, terms.NextTrial(term.Until.Add(5*time.Second), "a"))
	require.Equal(t, quarantine.Decision{}, terms.Check(term.ProbationEnd().Add(time.Second), "a"))
}
