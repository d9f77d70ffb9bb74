// Package health separates faulty workers from faulty jobs: a worker on which
// different jobs fail goes on probation, a job that fails on different workers
// is stopped. It also paces restarts.
package health
