//! The store: calls that got a 202, messages and their attempts, identities seen. The only disk.
//!
//! [`tables::Tables`] is the logic, the same over memory and over a file's transaction; [`disk::Disk`] the file;
//! [`writer::Writer`] the thread that commits; [`recovery`] what a start does with what it finds;
//! `sums` what a disk tells by whether it still holds what was written.

mod checksums;
pub mod disk;
pub mod keyspace;
pub mod log;
pub mod records;
pub mod recovery;
mod shards;
pub mod shared;
pub mod tables;
pub mod writer;

#[cfg(test)]
mod checksums_tests;
#[cfg(test)]
mod tests;
