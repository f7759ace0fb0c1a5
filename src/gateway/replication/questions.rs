//! Questions to a shard's primary: from callers here, and from other gateways.

use super::webhooks::Caller;
use super::*;

/// What is asked of a shard's primary.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub(in crate::gateway) enum PrimaryRequest {
    /// Take a call.
    Take(Box<CallRecord>, IdentityDigest, Micros),
    /// How does a call stand?
    State(u64, String),
}

/// Who waits here for a primary's answer.
#[derive(Debug)]
pub(in crate::gateway) enum RequestOrigin {
    /// A caller whose call is to be taken, and its identity.
    Take(ConnKey, IdentityDigest),
    /// A caller who asked how a call stands.
    State(ConnKey, String),
}

impl Gateway {
    /// A caller's question goes to whoever leads its shard.
    pub(in crate::gateway) fn send_to_primary(&mut self, shard: ShardId, asked: &PrimaryRequest, waits: RequestOrigin) {
        let Some(side) = &mut self.cluster.replication else {
            return;
        };
        side.tickets += 1;
        let ticket = side.tickets;
        side.waits.insert(ticket, waits);
        // A question always packs.
        let bytes = postcard::to_stdvec(asked).unwrap_or_default();
        self.notify_replicator(Input::Request {
            shard,
            waiter: ticket,
            bytes,
        });
    }

    pub(in crate::gateway) fn respond_to_request(&mut self, to: Name, number: u64, told: RequestOutcome) {
        self.notify_replicator(Input::Respond(to, number, told));
    }

    /// A question to this primary.
    pub(super) fn asked_of_shard(
        &mut self,
        now: Micros,
        shard: ShardId,
        from: Name,
        number: u64,
        bytes: &[u8],
    ) {
        let asked: Option<PrimaryRequest> = postcard::from_bytes(bytes).ok();
        let why = match asked {
            None => ReplicationError::Unknown {
                what: "question".into(),
            },
            Some(PrimaryRequest::State(serial, id)) => {
                let Some(hooks) = &mut self.secondary.hooks else {
                    return;
                };
                return hooks.request_call_state(serial, id, from, number);
            }
            Some(PrimaryRequest::Take(mut call, mark, until)) => {
                // It tells for how long it is of use still.
                call.expires = now.saturating_add(call.expires);
                let caller = Caller::Gateway(from.clone(), number);
                let may = self.may_take(now, shard, (&mark, until), &call.class);
                match may
                    .and_then(|want| self.accept_as_primary(now, shard, *call, mark, until, want, caller))
                {
                    Ok(()) => return self.remember_mark(shard, mark, until),
                    Err(why) => why,
                }
            }
        };
        self.respond_to_request(from, number, RequestOutcome::Rejected(why));
    }

    /// How many disks a call of a class asks for, if its identity may be taken in a shard that is led here.
    fn may_take(
        &mut self,
        now: Micros,
        shard: ShardId,
        (mark, until): (&IdentityDigest, Micros),
        class: &str,
    ) -> Result<usize, ReplicationError> {
        let Some(side) = &mut self.cluster.replication else {
            return Err(ReplicationError::ShuttingDown);
        };
        let (want, primary) = (side.wants(class), side.machine.settings().name.clone());
        // None while what stands of it is still being read.
        let taken = side.open.get_mut(&shard);
        let taken = taken.ok_or(ReplicationError::NotPrimary {
            shard,
            primary: Some(primary),
        })?;
        taken.check(now, mark, until, super::webhooks::MOST_MARKS)?;
        Ok(want)
    }

    fn remember_mark(&mut self, shard: ShardId, mark: IdentityDigest, until: Micros) {
        if let Some(taken) = self
            .cluster
            .replication
            .as_mut()
            .and_then(|s| s.open.get_mut(&shard))
        {
            taken.insert(mark, until);
        }
    }

    /// The identity was not taken after all.
    pub(in crate::gateway) fn remove_identity(&mut self, shard: ShardId, mark: &IdentityDigest) {
        if let Some(taken) = self
            .cluster
            .replication
            .as_mut()
            .and_then(|s| s.open.get_mut(&shard))
        {
            taken.remove(mark);
        }
    }

    /// A primary's answer to a question from here.
    pub(super) fn told_by_primary(&mut self, now: Micros, ticket: u64, told: RequestOutcome) {
        let waits = self
            .cluster
            .replication
            .as_mut()
            .and_then(|s| s.waits.remove(&ticket));
        match (waits, told) {
            (Some(RequestOrigin::Take(conn, _)), RequestOutcome::Committed(copies)) => {
                self.confirm_call(now, conn, copies)
            }
            (Some(RequestOrigin::Take(conn, mark)), RequestOutcome::Rejected(why)) => {
                self.reject_call(now, conn, &mark, &why)
            }
            (Some(RequestOrigin::State(conn, id)), RequestOutcome::Content(bytes)) => {
                let state: Option<CallState> = postcard::from_bytes(&bytes).unwrap_or_default();
                self.answer_state(now, conn, &id, Ok(state));
            }
            (Some(RequestOrigin::State(conn, id)), _) => {
                self.answer_state(
                    now,
                    conn,
                    &id,
                    Err(crate::front::http::plain(
                        503,
                        "nobody who knows of the call answered",
                    )),
                );
            }
            (Some(RequestOrigin::Take(conn, mark)), RequestOutcome::Content(_)) => {
                let why = ReplicationError::Unknown {
                    what: "question".into(),
                };
                self.reject_call(now, conn, &mark, &why);
            }
            (None, _) => {}
        }
    }
}

#[cfg(test)]
mod digest_tests;
#[cfg(test)]
mod fixture_tests;
