// Package groupday simulates a fleet over a day of failures, drawn from a seed, in virtual time. It
// drives the machine of package group directly, without a network: events go in, orders come out.
// The members are fakes that load weights, report their status and fail.
package groupday
