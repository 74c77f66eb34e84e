// Package sender tells whether the sender of a request still waits for the answer. A process that was
// frozen finds requests in its connections whose senders have long turned to another process.
package sender
