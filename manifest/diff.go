package manifest

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cyclamenyard/cyclamenyard/structs"
)

// Change is a field that differs between two manifests. Before is empty for an added field, and
// After for a removed one.
type Change struct {
	Field  string `json:"field"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns the change in the form "field: before -> after".
func (c Change) String() string {
	return fmt.Sprintf("%s: %s -> %s", c.Field, cmp.Or(c.Before, "(none)"), cmp.Or(c.After, "(none)"))
}

// Diff returns the fields that differ between a and b, ordered by field. Entries of lists are
// matched by name, so their order does not matter.
func Diff(a, b structs.Manifest) []Change {
	before, after := fields(a), fields(b)
	var changes []Change
	for field, value := range before {
		if after[field] != value {
			changes = append(changes, Change{Field: field, Before: value, After: after[field]})
		}
	}
	for field, value := range after {
		if _, exists := before[field]; !exists {
			changes = append(changes, Change{Field: field, After: value})
		}
	}
	slices.SortFunc(changes, func(x, y Change) int { return cmp.Compare(x.Field, y.Field) })
	return changes
}

// fields returns the values of m by field path, taken from its JSON form.
func fields(m structs.Manifest) map[string]string {
	flat := map[string]string{}
	document, err := json.Marshal(m)
	if err != nil {
		return flat // JSON cannot represent infinite rates; all other values can be encoded
	}
	var tree map[string]any
	if json.Unmarshal(document, &tree) == nil {
		flatten("", tree, flat)
	}
	return flat
}

// flatten adds the leaf values under path to flat. Entries of a list are keyed by name, or by
// index if they have none.
func flatten(path string, value any, flat map[string]string) {
	switch v := value.(type) {
	case map[string]any:
		for name, child := range v {
			field := name
			if path != "" {
				field = path + "." + name
			}
			flatten(field, child, flat)
		}
	case []any:
		for i, child := range v {
			key := fmt.Sprint(i)
			if entry, ok := child.(map[string]any); ok && entry["name"] != nil {
				key = fmt.Sprint(entry["name"])
			}
			flatten(path+"["+key+"]", child, flat)
		}
	case nil:
	default:
		flat[path] = fmt.Sprint(v)
	}
}
