//! Questions to a shard's primary: from callers here, and from other gateways.

use super::webhooks::Caller;
use super::*;

/// What is asked of a shard's primary.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub(in crate::gateway) enum Asked {
    /// Take a call.
    Take(Box<CallRecord>, IdentityDigest, Micros),
    /// How does a call stand?
    State(u64, String),
}

/// Who waits here for a primary's answer.
#[derive(Debug)]
pub(in crate::gateway) enum Waits {
    /// A caller whose call is to be taken, and its identity.
    Take(ConnKey, IdentityDigest),
    /// A caller who asked how a call stands.
    State(ConnKey, String),
}

impl Gateway {
    /// A caller's question goes to whoever leads its shard.
    pub(in crate::gateway) fn ask_primary(&mut self, shard: ShardId, asked: &Asked, waits: Waits) {
        let Some(side) = &mut self.cluster.replication else {
            return;
        };
        side.tickets += 1;
        let ticket = side.tickets;
        side.waits.insert(ticket, waits);
        // A question always packs.
        let bytes = postcard::to_stdvec(asked).unwrap_or_default();
        self.tell_copies(Input::Request {
            shard,
            ticket,
            bytes,
        });
    }

    pub(in crate::gateway) fn tell_asker(&mut self, to: Name, number: u64, told: RequestOutcome) {
        self.tell_copies(Input::Respond(to, number, told));
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
        let asked: Option<Asked> = postcard::from_bytes(bytes).ok();
        let why = match asked {
            None => ReplicationError::Unknown {
                what: "question".into(),
            },
            Some(Asked::State(serial, id)) => {
                let Some(hooks) = &mut self.secondary.hooks else {
                    return;
                };
                return hooks.ask_state(serial, id, from, number);
            }
            Some(Asked::Take(mut call, mark, until)) => {
                // It tells for how long it is of use still.
                call.expires = now.saturating_add(call.expires);
                let caller = Caller::Gateway(from.clone(), number);
                let may = self.may_take(now, shard, (&mark, until), &call.class);
                match may
                    .and_then(|want| self.take_asked(now, shard, *call, mark, until, want, caller))
                {
                    Ok(()) => return self.remember_mark(shard, mark, until),
                    Err(why) => why,
                }
            }
        };
        self.tell_asker(from, number, RequestOutcome::Rejected(why));
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
            return Err(ReplicationError::Leaving);
        };
        let (want, primary) = (side.wants(class), side.machine.settings().name.clone());
        // None while what stands of it is still being read.
        let taken = side.open.get_mut(&shard);
        let taken = taken.ok_or(ReplicationError::NotPrimary {
            shard,
            primary: Some(primary),
        })?;
        taken.may(now, mark, until, super::webhooks::MOST_MARKS)?;
        Ok(want)
    }

    fn remember_mark(&mut self, shard: ShardId, mark: IdentityDigest, until: Micros) {
        if let Some(taken) = self
            .cluster
            .replication
            .as_mut()
            .and_then(|s| s.open.get_mut(&shard))
        {
            taken.take(mark, until);
        }
    }

    /// The identity was not taken after all.
    pub(in crate::gateway) fn forget_mark(&mut self, shard: ShardId, mark: &IdentityDigest) {
        if let Some(taken) = self
            .cluster
            .replication
            .as_mut()
            .and_then(|s| s.open.get_mut(&shard))
        {
            taken.forget(mark);
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
            (Some(Waits::Take(conn, _)), RequestOutcome::Committed(copies)) => {
                self.promised_call(now, conn, copies)
            }
            (Some(Waits::Take(conn, mark)), RequestOutcome::Rejected(why)) => {
                self.refused_call(now, conn, &mark, &why)
            }
            (Some(Waits::State(conn, id)), RequestOutcome::Content(bytes)) => {
                let state: Option<CallState> = postcard::from_bytes(&bytes).unwrap_or_default();
                self.answer_state(now, conn, &id, Ok(state));
            }
            (Some(Waits::State(conn, id)), _) => {
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
            (Some(Waits::Take(conn, mark)), RequestOutcome::Content(_)) => {
                let why = ReplicationError::Unknown {
                    what: "question".into(),
                };
                self.refused_call(now, conn, &mark, &why);
            }
            (None, _) => {}
        }
    }
}

#[cfg(test)]
mod digest_tests;
#[cfg(test)]
mod fixture_tests;
