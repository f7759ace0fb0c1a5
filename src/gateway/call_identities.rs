//! The identities of calls that must not run twice. An identity that may have run is kept for a
//! while after its call's deadline, so that a repeat by a client that left is not run again.
//!
//! The processes of a hot restart share the identities in a file. A full table or an unusable file
//! rejects further such calls instead of forgetting an identity.

use std::io;
use std::path::Path;

use super::Gateway;
use crate::api::Micros;
use crate::core::Call;
use crate::front::http::{request_error, RequestError};
use crate::front::webhook::replay::{identity_digest, ForeignValidity, RecordResult, ReplayStore};

/// How long an identity is kept after its call's deadline.
pub(super) const IDENTITY_RETENTION: Micros = 30_000_000;
/// The longest deadline of a call.
const MAX_CALL_DURATION: Micros = 600_000_000;
/// The file of identities in the folder that the processes of a hot restart share.
const FILE_NAME: &str = "identities";
/// The share of the memory limit that identities in memory may use.
const MEMORY_SHARE: usize = 32;
/// The size of an identity in memory, in bytes, with the nodes of its two indices.
const BYTES_PER_IDENTITY: usize = 160;
/// Clients of the platform have one space of identities, without tenants.
const NO_TENANT: &str = "";

/// Whether a call that must not run twice may be submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Claim {
    /// Its identity is new.
    New,
    /// A call with its identity may have run.
    MayHaveRun,
    /// Identities cannot be recorded at present.
    Unavailable,
}

/// The identities of calls that must not run twice.
#[derive(Debug)]
pub(super) struct CallIdentities {
    store: ReplayStore,
}

impl CallIdentities {
    /// Creates a table in memory that uses its share of `memory_bytes`.
    pub(super) fn in_memory(memory_bytes: usize) -> CallIdentities {
        CallIdentities {
            store: ReplayStore::new(capacity(memory_bytes)),
        }
    }

    /// Opens the table that the processes of a hot restart share in `folder`.
    pub(super) fn shared(
        folder: &Path,
        memory_bytes: usize,
        now: Micros,
    ) -> io::Result<CallIdentities> {
        let path = folder.join(FILE_NAME);
        let foreign_validity = ForeignValidity {
            min: IDENTITY_RETENTION,
            max: MAX_CALL_DURATION + IDENTITY_RETENTION,
        };
        let capacity = capacity(memory_bytes);
        let store = ReplayStore::open_between_clocks(&path, capacity, now, foreign_validity)?;
        Ok(CallIdentities { store })
    }

    /// Claims the identity of a call with this deadline.
    pub(super) fn claim(&mut self, identity: &str, now: Micros, expires_at: Micros) -> Claim {
        let until = expires_at.max(now) + IDENTITY_RETENTION;
        match self.store.take(NO_TENANT, identity, now, until) {
            RecordResult::New => Claim::New,
            RecordResult::Before => Claim::MayHaveRun,
            RecordResult::Forgotten | RecordResult::Full | RecordResult::Unavailable => {
                Claim::Unavailable
            }
        }
    }

    /// The approximate memory in use, in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.store.len() * BYTES_PER_IDENTITY
    }

    /// Releases the identity of a call that cannot have run.
    pub(super) fn release(&mut self, identity: &str) {
        self.store.forget(&identity_digest(NO_TENANT, identity));
    }
}

fn capacity(memory_bytes: usize) -> usize {
    memory_bytes / MEMORY_SHARE / BYTES_PER_IDENTITY
}

impl Gateway {
    /// Claims the identity of a call that must not run twice; returns the error to answer the call
    /// with if it cannot be submitted.
    pub(super) fn claim_identity(&mut self, now: Micros, call: &Call<()>) -> Option<RequestError> {
        if !self.core.runs_at_most_once(call) {
            return None;
        }
        let expires_at = call.arrival.expires_at;
        match self.identities.claim(&call.identity, now, expires_at) {
            Claim::New => None,
            Claim::MayHaveRun => {
                self.core.counters.repeated_identities += 1;
                tracing::info!(identity = %call.identity, "identity repeated");
                Some(request_error(
                    409,
                    "X-Correlation-Id of a request that may have run",
                ))
            }
            Claim::Unavailable => {
                self.core.counters.identities_unavailable += 1;
                Some(request_error(503, "identities cannot be recorded"))
            }
        }
    }
}

#[cfg(test)]
mod tests;
