// Package fleet tests a deployment of real processes that are stopped, killed or paused, or that lose the store. It
// contains only tests.
package fleet
