// Package view holds the state that the keepers publish to gates. Its revision
// increases monotonically, and its tables hold typed entries with the revision of
// their last change. A gate installs a whole View, or a Delta relative to the
// revision in force, and never goes back to a lower revision.
package view
