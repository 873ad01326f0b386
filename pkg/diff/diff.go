// Package diff compares two versions of a list of entries that have names.
package diff

import (
	"fmt"
	"maps"
	"slices"
)

// Lines describes the differences between two lists, one line per entry, sorted by name. A line
// consists of +, - or ~ for an added, removed or changed entry, the kind and the name, and for a
// changed entry the text of the changes if there is any. changes compares two entries of the same
// name. Names need not be unique: further entries of a name are numbered in their order.
func Lines[T any](kind string, from, to []T, name func(T) string, changes func(from, to T) (text string, changed bool)) []string {
	before, after := indexByName(from, name), indexByName(to, name)
	all := maps.Clone(before)
	maps.Copy(all, after)
	var lines []string
	for _, key := range slices.Sorted(maps.Keys(all)) {
		old, inOld := before[key]
		current, inNew := after[key]
		if !inOld || !inNew {
			sign := "+"
			if inOld {
				sign = "-"
			}
			lines = append(lines, fmt.Sprintf("%s %s %s", sign, kind, key))
			continue
		}
		text, changed := changes(old, current)
		if !changed {
			continue
		}
		line := fmt.Sprintf("~ %s %s", kind, key)
		if text != "" {
			line += ": " + text
		}
		lines = append(lines, line)
	}
	return lines
}

func indexByName[T any](entries []T, name func(T) string) map[string]T {
	index := make(map[string]T, len(entries))
	count := make(map[string]int)
	for _, e := range entries {
		key := name(e)
		if count[key]++; count[key] > 1 {
			key = fmt.Sprintf("%s (%d)", key, count[key])
		}
		index[key] = e
	}
	return index
}
