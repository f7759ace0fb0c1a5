//! Drives changes of tenants that all gateways agree on, while copies are on: it decides nothing, which is [`Changes`]'.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use crate::admin::{self, Change, Handled};
use crate::api::Micros;
use crate::consensus::participant::Input as Say;
use crate::consensus::state::SubsystemEntry;
use crate::delivery::EndpointId;
use crate::front::http::{plain, Bad};
use crate::gateway::consensus::uptime;
use crate::gateway::history::History;
use crate::gateway::{ConnKey, Gateway, GatewayDeadline};
use crate::tenancy::replicated::changes::{
    ChangeRequest, Changes, Input, Output, Settings, Ticket,
};
use crate::tenancy::replicated::error::Refusal;
use crate::tenancy::replicated::history::HistoryEvent;
use crate::tenancy::replicated::state::Answer;
use crate::tenancy::replicated::LONGEST_ANSWER;
use crate::tenancy::Tenant;

/// An administrator who waits for a change to be agreed on.
#[derive(Debug)]
pub(super) struct Asker {
    /// The connection.
    pub(super) conn: ConnKey,
    /// Who asks.
    pub(super) who: String,
    /// The request's key, if it had one, and the digests of both.
    pub(super) key: Option<(String, [u8; 32], [u8; 32])>,
    /// The answer once it is agreed.
    pub(super) handled: Handled,
    /// What else follows then.
    pub(super) changes: Vec<Change>,
}

/// Who waits for a change.
#[derive(Debug)]
enum Waits {
    Asker(Box<Asker>),
    /// An endpoint was switched off here, as it failed for so long; its version before.
    Disabled(EndpointId, u64),
}

/// Agreed tenants, while they are on.
#[derive(Debug)]
pub(super) struct TenantDriver {
    machine: Changes,
    /// Tenants that the operator's file names.
    listed: BTreeSet<String>,
    waits: HashMap<Ticket, Waits>,
    tickets: Ticket,
    /// What the machine is told at the next step: an answer must not come while its request is still being read.
    wanted: VecDeque<(Ticket, ChangeRequest)>,
    hung: Option<Micros>,
    history: History,
    /// Whether it was heard since the start what is agreed.
    heard: bool,
}

/// The digests of a caller with its key, and of its request.
pub(super) fn digests(who: &str, key: &str, request: &[u8]) -> ([u8; 32], [u8; 32]) {
    let whose = [
        &(who.len() as u64).to_le_bytes()[..],
        who.as_bytes(),
        key.as_bytes(),
    ]
    .concat();
    (
        blake3::derive_key("molelug idempotency key 1", &whose),
        *blake3::hash(request).as_bytes(),
    )
}

impl Gateway {
    /// Begins to agree on tenants with the other gateways.
    pub(super) fn set_up_tenants(&mut self, now: Micros, settings: Settings, history: History) {
        self.cluster.tenants = Some(TenantDriver {
            machine: Changes::new(settings),
            listed: self.secondary.listed.clone(),
            waits: HashMap::new(),
            tickets: 0,
            wanted: VecDeque::new(),
            hung: None,
            history,
            heard: false,
        });
        if let Some(side) = &mut self.cluster.tenants {
            side.history.record(&HistoryEvent::Begun);
        }
        self.tenants_agreed(now);
    }

    /// What is agreed may have changed.
    pub(super) fn tenants_agreed(&mut self, now: Micros) {
        let Some(side) = &self.cluster.tenants else {
            return;
        };
        let Some(hall) = self
            .cluster
            .consensus
            .as_ref()
            .map(|h| h.participant().state())
        else {
            return;
        };
        // Most changes of what is agreed are of shards.
        if (side.machine.agreed().changes, side.machine.voters())
            != (hall.tenants.changes, hall.voters.len())
        {
            let agreed = Input::Agreed(Arc::new(hall.tenants.clone()), hall.voters.len());
            self.tell_tenants(now, agreed);
        }
    }

    /// Whether tenants are as all agree. A process that has just begun goes by its files until it has heard: one that was
    /// removed, or a secret that was taken back, must not count again meanwhile.
    pub(super) fn knows_tenants(&mut self) -> Result<(), Refusal> {
        let Some(side) = &mut self.cluster.tenants else {
            return Ok(());
        };
        side.heard |= self
            .cluster
            .consensus
            .as_ref()
            .is_some_and(|h| h.participant().is_caught_up());
        if side.heard {
            Ok(())
        } else {
            Err(Refusal::Unheard)
        }
    }

    pub(super) fn tick_tenants(&mut self, now: Micros) {
        if let Some(side) = &mut self.cluster.tenants {
            side.hung = None;
        }
        self.tell_tenants(now, Input::Tick);
    }

    /// Whether an answer was agreed on with a request of this key: the answer, or that the key came with another request.
    pub(super) fn answered_before(
        &self,
        key: &[u8; 32],
        request: &[u8; 32],
    ) -> Option<Result<Vec<u8>, Bad>> {
        let answer = self
            .cluster
            .tenants
            .as_ref()?
            .machine
            .agreed()
            .answer(key)?;
        let other = plain(409, "the Idempotency-Key is in use for another request");
        Some(if answer.request == *request {
            Ok(answer.bytes.clone())
        } else {
            Err(other)
        })
    }

    /// An administrator's change of a tenant is to be agreed on; it is answered once it is.
    pub(super) fn agree_on(&mut self, tenant: &str, kept: Option<Vec<u8>>, asker: Asker) {
        let bytes = admin::answer(&Ok(asker.handled.clone()), true);
        let answer = asker.key.as_ref().filter(|_| bytes.len() <= LONGEST_ANSWER);
        let answer = answer.map(|(_, key, request)| Answer {
            key: *key,
            request: *request,
            bytes,
        });
        self.want(tenant, kept, answer, Waits::Asker(Box::new(asker)));
    }

    /// An endpoint was switched off here: all are to know.
    pub(super) fn agree_on_disabled(&mut self, now: Micros, tenant: &str, id: EndpointId) {
        let version = self
            .secondary
            .tenants
            .get(tenant)
            .and_then(|t| t.endpoint(id))
            .map(|(_, e)| e.version);
        let kept = self.secondary.tenants.told(tenant, now);
        self.want(
            tenant,
            kept,
            None,
            Waits::Disabled(id, version.map_or(0, |v| v.saturating_sub(1))),
        );
    }

    fn want(&mut self, tenant: &str, kept: Option<Vec<u8>>, answer: Option<Answer>, waits: Waits) {
        let Some(side) = &mut self.cluster.tenants else {
            return;
        };
        side.tickets += 1;
        side.waits.insert(side.tickets, waits);
        let (ticket, listed) = (side.tickets, side.listed.contains(tenant));
        side.wanted.push_back((
            ticket,
            ChangeRequest {
                tenant: tenant.to_owned(),
                kept,
                listed,
                answer,
            },
        ));
    }

    /// Does what there is to do; whether there was something.
    pub(super) fn step_tenants(&mut self, now: Micros) -> bool {
        let wanted = self
            .cluster
            .tenants
            .as_mut()
            .and_then(|s| s.wanted.pop_front());
        let Some((ticket, wanted)) = wanted else {
            return false;
        };
        self.tell_tenants(now, Input::Change(ticket, wanted));
        true
    }

    fn tell_tenants(&mut self, now: Micros, input: Input) {
        let Some(side) = &mut self.cluster.tenants else {
            return;
        };
        side.machine.handle(uptime(), input);
        let mut adopted = false;
        while let Some(output) = self
            .cluster
            .tenants
            .as_mut()
            .and_then(|s| s.machine.output())
        {
            match output {
                Output::Propose(entry) => {
                    self.handle_consensus(Say::Submit(SubsystemEntry::Tenants(Box::new(entry))));
                }
                Output::Removals(removals) => self.secondary.tenants.set_removals(removals),
                Output::Adopt(tenant, kept) => {
                    adopted = true;
                    self.adopt_tenant(now, &tenant, kept.as_deref());
                }
                Output::Done(ticket) => self.change_agreed(now, ticket),
                Output::Refused(ticket, why) => self.change_refused(now, ticket, &why),
                Output::Noted(note) => {
                    if let Some(side) = &mut self.cluster.tenants {
                        side.history.record(&note);
                    }
                }
            }
        }
        if adopted {
            // What is agreed holds, whatever becomes of the file; a failure was told.
            self.persist_tenants();
        }
        let Some(side) = &mut self.cluster.tenants else {
            return;
        };
        let up = uptime();
        let next = side
            .machine
            .next_deadline()
            .map(|t| now + t.saturating_sub(up).max(1));
        if let Some(old) = side.hung.take() {
            self.core.unschedule(old, GatewayDeadline::Tenants.into());
        }
        side.hung = next;
        if let Some(at) = next {
            self.core.schedule(at, GatewayDeadline::Tenants.into());
        }
    }

    fn adopt_tenant(&mut self, now: Micros, tenant: &str, kept: Option<&[u8]>) {
        match self.secondary.tenants.adopt(now, tenant, kept) {
            Ok(Some(adopted)) => {
                tracing::info!(
                    tenant,
                    removed = kept.is_none(),
                    "took over a tenant as it is agreed on"
                );
                self.core
                    .set_tenant_quota(now, adopted.share.0, adopted.share.1);
                self.forget_endpoints(now, &adopted.gone);
                self.tell_endpoints(now, tenant);
            }
            Ok(None) => {}
            Err(e) => {
                let why = Refusal::Unreadable {
                    tenant: tenant.to_owned(),
                    why: e.to_string(),
                };
                tracing::error!(remedy = why.remedy(), "{why}");
            }
        }
        // A removal that was taken over has counted itself.
        if let Some(side) = &self.cluster.tenants {
            self.secondary
                .tenants
                .set_removals(side.machine.agreed().removals);
        }
    }

    fn change_agreed(&mut self, now: Micros, ticket: Ticket) {
        let waits = self
            .cluster
            .tenants
            .as_mut()
            .and_then(|s| s.waits.remove(&ticket));
        let Some(Waits::Asker(asker)) = waits else {
            return;
        };
        let Asker {
            conn,
            who,
            key,
            handled,
            changes,
        } = *asker;
        tracing::info!(who, "administered, as all agree");
        // The tenant itself was taken over like any other's change.
        let told = |c: &Change| matches!(c, Change::Rotated(..));
        changes
            .into_iter()
            .filter(told)
            .for_each(|c| self.apply_change(now, c));
        let bytes = admin::answer(&Ok(handled.clone()), true);
        self.finish_idempotency_key(key.map(|(key, ..)| (who, key)), true, &bytes);
        self.answer_second(conn, now, |stays| {
            if stays {
                bytes
            } else {
                admin::answer(&Ok(handled), false)
            }
        });
    }

    fn change_refused(&mut self, now: Micros, ticket: Ticket, why: &Refusal) {
        tracing::warn!(remedy = why.remedy(), "{why}");
        match self
            .cluster
            .tenants
            .as_mut()
            .and_then(|s| s.waits.remove(&ticket))
        {
            Some(Waits::Asker(asker)) => {
                let Asker { conn, who, key, .. } = *asker;
                // It may be made again under the same key, whatever became of it.
                self.finish_idempotency_key(key.map(|(key, ..)| (who, key)), false, &[]);
                let (status, text) = (why.status(), why.to_string());
                self.answer_second(conn, now, |stays| {
                    admin::problem(status, &text, Some(why.remedy()), stays)
                });
            }
            // Switched off it stays, on what others have changed since, unless that was this very endpoint; also where nobody
            // agreed in time, and only this gateway knows.
            Some(Waits::Disabled(id, version)) if why.may_come_again() => {
                let of =
                    |(name, t): (&String, &Tenant)| Some((name.clone(), t.endpoint(id)?.1.version));
                let found = self.secondary.tenants.iter().find_map(of);
                match found {
                    Some((tenant, now_at)) if now_at == version => {
                        self.secondary.tenants.disable(id);
                        self.agree_on_disabled(now, &tenant, id);
                    }
                    Some((tenant, now_at)) if now_at == version + 1 => {
                        self.agree_on_disabled(now, &tenant, id)
                    }
                    _ => {}
                }
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod digest_tests;
#[cfg(test)]
mod fixture_tests;
