//! Encoding of keys and values for all tables.
//!
//! Numeric parts of keys are big-endian 64-bit numbers, so that keys sort by their parts in order.
//! Values are encoded with postcard.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::error::StoreError;
use super::keyspace::Table;
use super::records::CallState;
use crate::api::Micros;
use crate::delivery::{PendingMessage, Seq};
use crate::replication::ShardId;

/// An exclusive upper bound for scans: sorts after all keys in use.
pub(super) const KEY_END: [u8; 32] = [0xff; 32];
/// Size of a numeric key part in bytes.
pub(super) const KEY_PART_BYTES: usize = 8;

/// Tables whose keys start with the sequence number of a call or message.
pub(super) const TABLES_BY_SEQUENCE: [Table; 5] = [
    Table::Calls,
    Table::Messages,
    Table::Bodies,
    Table::StartedAttempts,
    Table::Attempts,
];

/// Encodes a value.
pub(super) fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, StoreError> {
    postcard::to_stdvec(value).map_err(|_| StoreError::Unreadable("a record"))
}

/// Decodes a value; `description` names the value in the error.
pub(super) fn decode<T: DeserializeOwned>(
    bytes: &[u8],
    description: &'static str,
) -> Result<T, StoreError> {
    postcard::from_bytes(bytes).map_err(|_| StoreError::Unreadable(description))
}

/// Builds a key from numeric parts.
pub(super) fn key(parts: &[u64]) -> Vec<u8> {
    parts.iter().flat_map(|part| part.to_be_bytes()).collect()
}

/// Returns the numeric part of a key at `index`; 0 if the key is too short.
pub(super) fn key_part(key: &[u8], index: usize) -> u64 {
    let start = index * KEY_PART_BYTES;
    let part = key
        .get(start..start + KEY_PART_BYTES)
        .and_then(|bytes| bytes.try_into().ok());
    part.map_or(0, u64::from_be_bytes)
}

/// Returns the key of a call, message, body or started attempt.
pub(super) fn sequence_key(seq: Seq) -> Vec<u8> {
    key(&[seq.0])
}

/// Returns the first key and the exclusive end of a shard's rows in the [`TABLES_BY_SEQUENCE`].
pub(super) fn shard_key_range(shard: ShardId) -> (Vec<u8>, Vec<u8>) {
    let start = Seq::of_shard(shard, 0, 0);
    let end = Seq::of_shard(shard + 1, 0, 0);
    (sequence_key(start), sequence_key(end))
}

/// Returns the key of a waiting message: its endpoint, due time and sequence number.
pub(super) fn waiting_key(waiting: &PendingMessage) -> Vec<u8> {
    key(&[waiting.endpoint.0, waiting.due, waiting.seq.0])
}

/// Returns the key of a call's state: the tenant's serial number and the call's identity.
pub(super) fn call_key(serial: u64, id: &str) -> Vec<u8> {
    [&key(&[serial])[..], id.as_bytes()].concat()
}

/// Returns the key of an index row by time: the time, followed by the key of the indexed row.
pub(super) fn age_key(time: Micros, row_key: &[u8]) -> Vec<u8> {
    [&key(&[time])[..], row_key].concat()
}

/// The stored value of a call identity.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct IdentityEntry {
    /// The time until which a repeated call with this identity must be detected.
    pub(super) valid_until: Micros,
    /// The shard of the call; 0 if the call is not replicated.
    pub(super) shard: ShardId,
}

/// Decodes the value of a call identity. Earlier versions stored no shard; the shard is then 0.
pub(super) fn decode_identity(bytes: &[u8]) -> Result<IdentityEntry, StoreError> {
    decode(bytes, "a digest").or_else(|_: StoreError| {
        Ok(IdentityEntry {
            valid_until: decode(bytes, "a digest")?,
            shard: 0,
        })
    })
}

/// Decodes the state of a call. Earlier versions stored no shard; the shard is then 0.
pub(super) fn decode_call_state(bytes: &[u8]) -> Result<CallState, StoreError> {
    decode(bytes, "a call's state").or_else(|error| {
        let (taken, outcome) = decode(bytes, "a call's state").map_err(|_: StoreError| error)?;
        Ok(CallState {
            retention_start: taken,
            outcome,
            shard: 0,
        })
    })
}
