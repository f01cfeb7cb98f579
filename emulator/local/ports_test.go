package local

import "testing"

// Guards against two hosts that get the same port, because the first has not begun to listen when the second one's is chosen:
// seen once in TestRollingReplacementBreaksNothing, "address already in use".
func TestPortsAreNotChosenTwice(t *testing.T) {
	seen := make(map[string]bool)
	for range 400 {
		addresses, err := freeAddresses(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		for _, address := range addresses {
			if seen[address] {
				t.Fatalf("%s was chosen twice", address)
			}
			seen[address] = true
		}
	}
}
