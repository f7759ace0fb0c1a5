//! The store: calls that got a 202, messages and their attempts, identities seen. The only disk.
//!
//! [`tables::Tables`] is the logic, the same over memory and over a file's transaction; [`disk::Disk`] the file;
//! [`writer::Writer`] the thread that commits; [`recovery`] what a start does with what it finds.

pub mod disk;
pub mod log;
pub mod records;
pub mod recovery;
mod shards;
pub mod shared;
pub mod space;
pub mod tables;
pub mod writer;

#[cfg(test)]
mod tests;
