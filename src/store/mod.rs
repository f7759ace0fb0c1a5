//! The store: accepted calls, messages with their attempts, identities, replicas of shards, and the
//! consensus log. It is the only part that writes these to disk.
//!
//! [`tables::Tables`] is the logic, over memory or over a transaction of the file; [`disk::Disk`]
//! is the file; [`writer::Writer`] is the thread that commits; [`recovery`] decides about calls and
//! attempts that a start finds; the checksums detect rows that changed on the disk by themselves.
//! [`operations`] is the interface, [`records`] what is persisted, and [`replicated_op`] what is
//! replicated.

mod checksums;
mod consensus_log;
pub mod disk;
pub mod error;
mod keys;
pub mod keyspace;
pub mod operations;
pub mod records;
pub mod recovery;
pub mod replicated_op;
mod shards;
pub mod tables;
pub mod writer;

#[cfg(test)]
mod tests;
