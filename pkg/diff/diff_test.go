package diff_test

import (
	"fmt"
	"strings"

	"github.com/lycheehead/lycheehead/pkg/diff"
)

func ExampleLines() {
	name := func(entry string) string { return strings.Fields(entry)[0] }
	changes := func(from, to string) (string, bool) {
		before, after := strings.Fields(from)[1], strings.Fields(to)[1]
		return before + " -> " + after, before != after
	}
	before := []string{"read 1", "left 2", "twin 3", "twin 4"}
	after := []string{"twin 3", "twin 5", "read 1", "new 2"}
	for _, line := range diff.Lines("route", before, after, name, changes) {
		fmt.Println(line)
	}
	// Output:
	// - route left
	// + route new
	// ~ route twin (2): 4 -> 5
}
