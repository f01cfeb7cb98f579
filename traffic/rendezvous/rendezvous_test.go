package rendezvous

import "testing"

// Guards against hosts of different versions that disagree on who uses an upstream, and against pairs that are confused
// because their ids are joined without a separator.
func TestScore(t *testing.T) {
	if got, want := Score("i-1", "edge-1"), uint64(11943932227534054460); got != want {
		t.Errorf("score %d, want %d", got, want)
	}
	if Score("a", "bc") == Score("ab", "c") {
		t.Error("two pairs with the same joined ids have the same score")
	}
}
