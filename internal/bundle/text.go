package bundle

import (
	"fmt"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/internal/yaml"
)

// Parse parses and validates the text of a bundle. The error lists all faults,
// each with file, line and column.
func Parse(path string, text []byte) (*schema.Bundle, error) {
	b := &schema.Bundle{}
	if err := yaml.Unmarshal(path, text, b, validate); err != nil {
		return nil, fmt.Errorf("parse bundle: %w", err)
	}
	return b, nil
}

// Format returns the YAML text of a bundle.
func Format(b *schema.Bundle) ([]byte, error) {
	text, err := yaml.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("format bundle: %w", err)
	}
	return text, nil
}

func validate(b *schema.Bundle) error {
	if _, err := ToBuilder(b).Build(); err != nil {
		return fmt.Errorf("validate bundle: %w", err)
	}
	return nil
}
