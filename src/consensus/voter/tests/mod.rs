//! Tests of voters: agreement under faults, and disks that lose state.

mod agreement;
mod disks;
mod runs;
mod simulation;
