//go:build !lockcheck

// The check of lock order takes some microseconds for each lock, of which a plan
// of seconds takes tens of millions.

package emulate_test

import "testing"

// TestPlans plays the load that each policy of placement and admission answers.
func TestPlans(t *testing.T) { runPlans(t, "testdata/plans") }
