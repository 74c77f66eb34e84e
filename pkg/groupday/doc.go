// Package groupday plays a seeded day of failures through the machine of
// package group in virtual time. Members are fakes that load, report and fail;
// there is no network: events go in, orders come out.
package groupday
