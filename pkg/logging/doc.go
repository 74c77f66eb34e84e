// Package logging creates the loggers of all programs: each event is one line of
// key=value pairs with the process and host fields. Confidential values have the type
// Secret.
package logging
