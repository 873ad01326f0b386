//go:build !lockcheck

// Not built with the lock order check: a plan of several seconds acquires tens of
// millions of locks, and the check takes some microseconds for each.

package emulate_test

import "testing"

// TestPlans runs the plans by which policies for placement and admission are evaluated.
func TestPlans(t *testing.T) { runPlans(t, "testdata/plans") }
