package suspend_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lycheehead/lycheehead/internal/suspend"
)

// TestElapsedWhileAwake checks that time during which the machine runs is not counted.
func TestElapsedWhileAwake(t *testing.T) {
	m := suspend.Start()
	time.Sleep(20 * time.Millisecond)
	if d := m.Elapsed(); d != 0 {
		t.Fatalf("suspended for %s", d)
	}
}

func ExampleMeter() {
	m := suspend.Start()
	fmt.Println(m.Elapsed())
	// Output: 0s
}
