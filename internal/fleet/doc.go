// Package fleet implements the replicated state machine of the fleet group: the
// teams' documents, their keys, and the allotments into which each team's upper
// limit is divided over the data centres. Replicas of the group apply commands
// (Apply); every other process keeps a copy of the same Store and brings it up
// to date with the resulting changes (ChangesSince, ApplyChanges).
package fleet
