// Package loadgenerator sends jobs to running hosts over real HTTP in an open
// loop: each job has a scheduled moment that depends on no earlier answer, and its
// response is measured from that moment. A system that stalls thus shows the stall
// in every job that fell due meanwhile, and not just in the ones that were sent.
package loadgenerator
