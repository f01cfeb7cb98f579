package rendezvous

import "testing"

// Guards against hosts of different versions that disagree on which hosts use an upstream, and against equal scores of different
// pairs because their ids are joined without a separator.
func TestScore(t *testing.T) {
	if got, want := Score("i-1", "edge-1"), uint64(11943932227534054460); got != want {
		t.Errorf("score %d, want %d as in earlier versions", got, want)
	}
	if Score("a", "bc") == Score("ab", "c") {
		t.Error("two pairs whose concatenated ids are equal have the same score")
	}
}
