//! Requests to the primary of a shard, from callers of this gateway and from other gateways.

use serde::{Deserialize, Serialize};

use crate::api::Micros;
use crate::front::http::request_error;
use crate::gateway::webhooks::{Caller, IncomingCall, MAX_IDENTITIES};
use crate::gateway::{ConnKey, Gateway};
use crate::replication::error::ReplicationError;
use crate::replication::replicator::Input;
use crate::replication::wire::RequestOutcome;
use crate::replication::{Name, ShardId};
use crate::store::records::{CallRecord, CallState, IdentityDigest};

#[cfg(test)]
mod digest_tests;
#[cfg(test)]
mod fixture_tests;

/// A request to the primary of a shard. Postcard encodes it, so the order of variants and fields is
/// part of the format.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(in crate::gateway) enum PrimaryRequest {
    /// Accept a call, whose `expires` is the time left.
    AcceptCall {
        call: Box<CallRecord>,
        identity: IdentityDigest,
        valid_until: Micros,
    },
    /// Return the state of a call, by its tenant's serial number and its identity.
    CallState(u64, String),
}

/// The caller that waits for the response of a primary.
#[derive(Debug)]
pub(in crate::gateway) enum RequestOrigin {
    /// A caller whose call is to be accepted, and the digest of the call's identity.
    AcceptCall(ConnKey, IdentityDigest),
    /// A caller who queries the state of a call.
    CallState(StateQuery),
}

/// A caller's query for the state of a call.
#[derive(Debug)]
pub(in crate::gateway) struct StateQuery {
    conn: ConnKey,
    shard: ShardId,
    /// The call's identity.
    id: String,
    /// Serial numbers of further tenants, asked for next if this one has no such call.
    others: Vec<u64>,
}

fn unknown_request() -> ReplicationError {
    ReplicationError::Unknown {
        subject: "question".into(),
    }
}

impl Gateway {
    /// Asks the primary of a shard for the state of a call, which is of the first of the tenants
    /// that has it.
    pub(in crate::gateway) fn query_call_state(
        &mut self,
        conn: ConnKey,
        shard: ShardId,
        id: String,
        mut serials: Vec<u64>,
    ) {
        if serials.is_empty() {
            return;
        }
        let request = PrimaryRequest::CallState(serials.remove(0), id.clone());
        let query = StateQuery {
            conn,
            shard,
            id,
            others: serials,
        };
        self.send_to_primary(shard, &request, RequestOrigin::CallState(query));
    }

    /// Sends a caller's request to the primary of a shard.
    pub(in crate::gateway) fn send_to_primary(
        &mut self,
        shard: ShardId,
        request: &PrimaryRequest,
        origin: RequestOrigin,
    ) {
        let Some(driver) = &mut self.cluster.replication else {
            return;
        };
        driver.last_request += 1;
        let waiter = driver.last_request;
        driver.pending_requests.insert(waiter, origin);
        // A request can always be encoded.
        let bytes = postcard::to_stdvec(request).unwrap_or_default();
        self.notify_replicator(Input::Request {
            shard,
            waiter,
            bytes,
        });
    }

    /// Sends the response to a request that was handled here.
    pub(in crate::gateway) fn respond_to_request(
        &mut self,
        peer: Name,
        number: u64,
        outcome: RequestOutcome,
    ) {
        self.notify_replicator(Input::Respond {
            peer,
            number,
            outcome,
        });
    }

    /// Handles a request to this primary.
    pub(super) fn handle_primary_request(
        &mut self,
        now: Micros,
        shard: ShardId,
        from: Name,
        number: u64,
        bytes: &[u8],
    ) {
        match postcard::from_bytes(bytes).ok() {
            None => {
                let outcome = RequestOutcome::Rejected(unknown_request());
                self.respond_to_request(from, number, outcome);
            }
            Some(PrimaryRequest::CallState(serial, id)) => {
                if let Some(webhooks) = &mut self.secondary.webhooks {
                    webhooks.request_call_state(serial, id, from, number);
                }
            }
            Some(PrimaryRequest::AcceptCall {
                mut call,
                identity,
                valid_until,
            }) => {
                call.expires = now.saturating_add(call.expires);
                let accepted = IncomingCall {
                    shard,
                    record: *call,
                    identity,
                    valid_until,
                    caller: Caller::Gateway(from.clone(), number),
                };
                if let Err(error) = self.accept_remote_call(now, accepted) {
                    self.respond_to_request(from, number, RequestOutcome::Rejected(error));
                }
            }
        }
    }

    /// Accepts a call as the primary, unless its identity was used before.
    fn accept_remote_call(
        &mut self,
        now: Micros,
        call: IncomingCall,
    ) -> Result<(), ReplicationError> {
        let (shard, identity, valid_until) = (call.shard, call.identity, call.valid_until);
        let min_replicas = self.check_identity(now, &call)?;
        self.accept_as_primary(now, call, min_replicas)?;
        let driver = self.cluster.replication.as_mut();
        if let Some(used) = driver.and_then(|driver| driver.open_shards.get_mut(&shard)) {
            used.insert(identity, valid_until);
        }
        Ok(())
    }

    /// Returns the number of replicas that a call needs, if its identity may be used in a shard of
    /// this primary.
    fn check_identity(
        &mut self,
        now: Micros,
        call: &IncomingCall,
    ) -> Result<usize, ReplicationError> {
        let Some(driver) = &mut self.cluster.replication else {
            return Err(ReplicationError::ShuttingDown);
        };
        let min_replicas = driver.min_replicas(&call.record.class);
        // The shard is absent while its state is being loaded.
        let Some(used) = driver.open_shards.get_mut(&call.shard) else {
            return Err(ReplicationError::NotPrimary {
                shard: call.shard,
                primary: Some(driver.replicator.settings().name.clone()),
            });
        };
        used.check(now, &call.identity, call.valid_until, MAX_IDENTITIES)?;
        Ok(min_replicas)
    }

    /// Removes an identity whose call was not accepted.
    pub(in crate::gateway) fn remove_identity(
        &mut self,
        shard: ShardId,
        identity: &IdentityDigest,
    ) {
        let driver = self.cluster.replication.as_mut();
        if let Some(used) = driver.and_then(|driver| driver.open_shards.get_mut(&shard)) {
            used.remove(identity);
        }
    }

    /// Handles the response of a primary to a request of this gateway's caller.
    pub(super) fn handle_primary_response(
        &mut self,
        now: Micros,
        waiter: u64,
        outcome: RequestOutcome,
    ) {
        let driver = self.cluster.replication.as_mut();
        let origin = driver.and_then(|driver| driver.pending_requests.remove(&waiter));
        match origin {
            Some(RequestOrigin::AcceptCall(conn, identity)) => match outcome {
                RequestOutcome::Committed(replicas) => self.confirm_call(now, conn, replicas),
                RequestOutcome::Rejected(error) => {
                    self.reject_call(now, conn, &identity, &error);
                }
                RequestOutcome::Content(_) => {
                    self.reject_call(now, conn, &identity, &unknown_request());
                }
            },
            Some(RequestOrigin::CallState(query)) => {
                let state: Result<Option<CallState>, _> = match outcome {
                    RequestOutcome::Content(bytes) => {
                        Ok(postcard::from_bytes(&bytes).unwrap_or_default())
                    }
                    _ => Err(request_error(503, "nobody who knows of the call answered")),
                };
                if matches!(state, Ok(None)) && !query.others.is_empty() {
                    self.query_call_state(query.conn, query.shard, query.id, query.others);
                } else {
                    self.answer_state(now, query.conn, &query.id, state);
                }
            }
            None => {}
        }
    }
}
