// Package logging makes the loggers of all programs: one line of key=value
// pairs for each event, with the process and host fields on every line.
// Values that must not be seen are of type Secret.
package logging
