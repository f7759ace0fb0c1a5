//! Tests of replication: a simulation with faults, a model checker, and the errors.

mod disks;
mod errors;
mod faults;
mod guards;
mod model;
mod random_faults;
mod requests;
mod simulation;
