// Package hlc is a hybrid logical clock: stamps follow the wall clock as long
// as that moves forward and stay consistent with causality when it does not.
// Stamps order events for display. No decision depends on them.
package hlc
