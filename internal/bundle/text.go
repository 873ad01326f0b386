package bundle

import (
	"fmt"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/internal/yaml"
)

// Parse reads a bundle's text and checks it. The error lists every fault with
// file, line and column.
func Parse(path string, text []byte) (*schema.Bundle, error) {
	b := &schema.Bundle{}
	if err := yaml.Unmarshal(path, text, b, check); err != nil {
		return nil, fmt.Errorf("parse bundle: %w", err)
	}
	return b, nil
}

// Format writes a bundle as text.
func Format(b *schema.Bundle) ([]byte, error) {
	text, err := yaml.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("format bundle: %w", err)
	}
	return text, nil
}

func check(b *schema.Bundle) error {
	if _, err := ToBuilder(b).Build(); err != nil {
		return fmt.Errorf("check bundle: %w", err)
	}
	return nil
}
