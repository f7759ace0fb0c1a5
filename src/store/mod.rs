//! Storage of accepted calls, messages with their delivery attempts, call identities, shard
//! replicas, and the consensus log. Only this module writes them to disk.
//!
//! - [`operations`] defines the operations and replies, [`records`] the persisted records, and
//!   [`replicated_op`] the replicated operations.
//! - [`tables::Tables`] applies operations to tables in memory or in a transaction of the file.
//! - [`disk::Disk`] manages the file, and [`writer::Writer`] commits to it from one thread.
//! - [`recovery`] selects the action for calls and attempts that were open before a restart.
//! - `checksums` detects rows that were corrupted on disk.

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
