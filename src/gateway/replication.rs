//! Drives what gateways hold for one another: records to the disk and to copies, questions to a shard's primary, and what
//! stands of a shard that comes to be led here. It decides nothing: that is [`Replicator`]'.

use std::collections::{BTreeMap, HashMap};

use super::history::History;
use super::*;
use crate::config::ConfigError;
use crate::consensus::state::SubsystemEntry;
use crate::consensus::{member, wire as frames};
use crate::replication::config::{self, Guards, WhenFewer};
use crate::replication::error::ReplicationError;
use crate::replication::history::HistoryEvent;
use crate::replication::identities::Identities;
use crate::replication::machine::{Input, Output, Replicator};
use crate::replication::wire::{Body, RequestOutcome};
use crate::replication::{Epoch, LogPosition, Name, ShardId};
use crate::store::records::{CallRecord, CallState, IdentityDigest, Reply, StoreError};
use crate::tenancy::replicated::changes::Settings as Agreeing;

mod questions;
pub(super) use questions::{Asked, Waits};

/// Copies, while they are on.
#[derive(Debug)]
pub(super) struct ReplicationDriver {
    machine: Replicator,
    file: config::File,
    /// The shards that are led here and whose content was taken up, with the identities taken.
    pub(super) open: BTreeMap<ShardId, Identities>,
    /// What the disk here said to a record that is not promised yet.
    kept: HashMap<u64, Reply>,
    waits: HashMap<u64, Waits>,
    tickets: u64,
    hung: Option<Micros>,
    leaves: bool,
    history: History,
}

/// Ends the process at a step of a call's life, if a test has asked for it; a build for use never does.
pub(super) fn step(what: &str) {
    let asked = || std::env::var("MOLELUG_ENDS_AT").is_ok_and(|at| at == what);
    let armed =
        || std::env::var("MOLELUG_ENDS_IF").is_ok_and(|file| std::path::Path::new(&file).exists());
    if cfg!(debug_assertions) && asked() && armed() {
        std::process::abort();
    }
}

/// The guards that this build can take out, for the lab's runs; a build for use has none to take out.
fn guards() -> Guards {
    let mut guards = Guards::default();
    if cfg!(debug_assertions) {
        match std::env::var("MOLELUG_WITHOUT").as_deref() {
            Ok("epochs") => guards.epochs = true,
            Ok("all") => guards.all = true,
            Ok("process") => guards.process = true,
            Ok("chain") => guards.chain = true,
            Ok("agreed") => guards.agreed = true,
            Ok("want") => guards.want = true,
            Ok("sound") => guards.sound = true,
            Ok("ahead") => guards.ahead = true,
            _ => {}
        }
    }
    guards
}

impl ReplicationDriver {
    /// How many disks a call of a class asks for.
    pub(super) fn wants(&self, class: &str) -> usize {
        match self.file.when_fewer.get(class).copied().unwrap_or_default() {
            WhenFewer::Refuse => self.file.copies,
            WhenFewer::Fewer => 1,
        }
    }

    /// The shard of an identity.
    pub(super) fn shard_of(&self, mark: &IdentityDigest) -> ShardId {
        crate::replication::shard_of(mark, self.file.shards)
    }
}

impl Gateway {
    /// Begins to hold copies.
    pub(super) fn set_up_copies(
        &mut self,
        now: Micros,
        file: &config::File,
    ) -> Result<(), GatewayError> {
        let needs = |what: &'static str| {
            Err(GatewayError::Operator(ConfigError::Value(
                what,
                "absent, and copies need it".into(),
            )))
        };
        let Some((name, process, history)) = self.council_identity() else {
            return needs("--council");
        };
        if !self
            .secondary
            .hooks
            .as_ref()
            .is_some_and(webhooks::WebhookDriver::durable)
        {
            return needs("webhooks.store");
        }
        if !file.members.contains_key(&*name) {
            return Err(GatewayError::Operator(ConfigError::Value(
                "copies.members",
                format!("{name} is not among them"),
            )));
        }
        let machine = Replicator::new(file.settings(&name, process, guards()), consensus::uptime());
        let beside = |what| History::beside(history.as_deref(), what, &name, process);
        let fail = |e: io::Error| GatewayError::Loop(e.into());
        let (history, tenants) = (
            beside("copies.jsonl").map_err(fail)?,
            beside("tenants.jsonl").map_err(fail)?,
        );
        let settings = machine.settings();
        let agreeing = Agreeing {
            name: name.clone(),
            process,
            copies: settings.copies,
            ask: settings.ask,
            without_agreed: settings.without.agreed,
        };
        self.know_addresses(
            file.members
                .iter()
                .map(|(n, m)| (n.as_str().into(), m.address)),
        );
        self.cluster.replication = Some(ReplicationDriver {
            machine,
            file: file.clone(),
            open: BTreeMap::new(),
            kept: HashMap::new(),
            waits: HashMap::new(),
            tickets: 0,
            hung: None,
            leaves: false,
            history,
        });
        self.set_up_tenants(now, agreeing, tenants);
        self.copies_agreed();
        if let Some(hooks) = &mut self.secondary.hooks {
            hooks.begin_disk(process ^ self.config.seed, false);
        }
        self.step_copies(now);
        Ok(())
    }

    pub(super) fn tell_copies(&mut self, input: Input) {
        if let Some(side) = &mut self.cluster.replication {
            side.machine.handle(consensus::uptime(), input);
        }
    }

    /// What is agreed has changed.
    pub(super) fn copies_agreed(&mut self) {
        if self.cluster.replication.is_none() {
            return;
        }
        if let Some(sets) = self.agreed_sets() {
            self.tell_copies(Input::SetsChanged(std::sync::Arc::new(sets)));
        }
    }

    /// Another gateway said something of copies.
    pub(super) fn copies_frame(&mut self, from: Name, body: Body) {
        self.tell_copies(Input::Frame(from, body));
    }

    pub(super) fn tick_copies(&mut self) {
        if let Some(side) = &mut self.cluster.replication {
            side.hung = None;
        }
        self.tell_copies(Input::Tick);
    }

    /// On how many disks a shard's promises stand.
    pub(super) fn disks_of(&self, shard: ShardId) -> u8 {
        let set = self
            .cluster
            .replication
            .as_ref()
            .and_then(|s| s.machine.shards().get(&shard));
        // A set has five members at most.
        set.map_or(0, |s| s.set.members.len().min(255) as u8)
    }

    /// Those with whom a connection is kept for copies.
    pub(super) fn copies_peers(&self) -> Vec<Name> {
        self.cluster
            .replication
            .as_ref()
            .map_or(Vec::new(), |s| s.machine.peers().cloned().collect())
    }

    /// Whether nothing is led here any more, at the end of the process: what is led is handed to others first.
    pub(super) fn copies_left(&mut self) -> bool {
        let leads = self
            .cluster
            .replication
            .as_ref()
            .is_some_and(|s| s.machine.leads_any());
        if leads
            && self
                .cluster
                .replication
                .as_mut()
                .is_some_and(|s| !std::mem::replace(&mut s.leaves, true))
        {
            self.tell_copies(Input::GracefulShutdown);
        }
        !leads
    }

    /// Does what there is to do; whether there was something.
    pub(super) fn step_copies(&mut self, now: Micros) -> bool {
        let Some(side) = &mut self.cluster.replication else {
            return false;
        };
        if let Some((ticket, shard, bytes, want)) = self
            .secondary
            .hooks
            .as_mut()
            .and_then(|h| h.shared.pop_front())
        {
            side.machine.handle(
                consensus::uptime(),
                Input::Append {
                    shard,
                    ticket,
                    bytes,
                    want,
                },
            );
            return true;
        }
        if let Some(output) = side.machine.output() {
            self.copies_output(now, output);
            return true;
        }
        let up = consensus::uptime();
        let next = Some(now + side.machine.next_deadline().saturating_sub(up).max(1));
        if side.hung.is_none_or(|old| Some(old) > next || old <= now) {
            if let Some(old) = side.hung.take() {
                self.core
                    .unschedule(old, GatewayDeadline::Replication.into());
            }
            side.hung = next;
            if let Some(at) = next {
                self.core.schedule(at, GatewayDeadline::Replication.into());
            }
        }
        false
    }

    fn copies_output(&mut self, now: Micros, output: Output) {
        let (Some(side), Some(hooks)) = (&mut self.cluster.replication, &mut self.secondary.hooks)
        else {
            return;
        };
        match output {
            Output::Send(to, body) => self.say(now, &to, frames::Body::Replication(body)),
            Output::Propose(entry) => {
                self.tell_member_of_council(member::Input::Submit(SubsystemEntry::ReplicaSets(
                    entry,
                )));
            }
            Output::Store(shard, place, bytes, ticket) => {
                hooks.keep_record(shard, place, &bytes, ticket)
            }
            Output::Install(shard, place, bytes) => hooks.keep_shard(shard, place, bytes),
            Output::Read(shard, to) => hooks.read_shard(shard, to),
            Output::Verify => hooks.verify_shards(),
            Output::Accept(shard) => hooks.accept_shard(shard),
            Output::Committed(ticket, _) => {
                let reply = side.kept.remove(&ticket).unwrap_or(Reply::Done);
                hooks.reply(ticket, Ok(reply));
            }
            Output::Rejected(ticket, why) => {
                side.kept.remove(&ticket);
                hooks.reply(ticket, Err(StoreError::NotPromised(why)));
            }
            Output::BecomePrimary(shard, epoch) => hooks.lead_shard(shard, epoch),
            Output::StepDown(shard) => {
                side.open.remove(&shard);
                tracing::warn!(shard, "a shard is led here no more");
                let over = hooks.rest_shard(now, shard);
                over.into_iter()
                    .for_each(|key| self.core.client_disconnected(now, key));
            }
            Output::HandleRequest(shard, from, number, bytes) => {
                self.asked_of_shard(now, shard, from, number, &bytes)
            }
            Output::Response(ticket, told) => self.told_by_primary(now, ticket, told),
            Output::DiskRefused => {
                tracing::error!(
                    "the disk is an old copy, or another process has begun on it since: what it held for others is let go \
                     of and copied anew; start each gateway on its own newest disk"
                );
                hooks.begin_disk(self.config.seed ^ consensus::uptime(), true);
            }
            Output::Record(note) => {
                if let HistoryEvent::Lost { shard } = note {
                    tracing::error!(
                        shard,
                        "all disks that held this shard are lost, and what was promised in it with them; raise copies, \
                         or spread members over more halls"
                    );
                }
                match &note {
                    HistoryEvent::Damaged { shard, ranges } => tracing::error!(
                        shard,
                        ?ranges,
                        "the disk does not hold what was written: the shard is copied anew from another; look at this machine's \
                         disk and memory, and replace it if that comes again"
                    ),
                    HistoryEvent::Recalled { shard } => tracing::error!(
                        shard,
                        "all disks that held this shard are lost; this one had been left out and has what was promised until then: \
                         what was taken on fewer machines since is gone; raise copies, or spread members over more halls"
                    ),
                    HistoryEvent::Waits { shard, members } => tracing::error!(
                        shard,
                        ?members,
                        "the disk here is damaged, and no other that holds the shard can be heard: bring one of them back; or, if \
                         their disks are lost, start them with empty ones, and what is left here counts"
                    ),
                    HistoryEvent::Mended { shard, accepted: false } => {
                        tracing::info!(shard, "a damaged shard was mended from another disk");
                    }
                    HistoryEvent::Mended { shard, accepted: true } => tracing::error!(
                        shard,
                        "no other disk has a damaged shard: what is left of it counts, and something promised may be gone; \
                         raise copies"
                    ),
                    _ => {}
                }
                if let HistoryEvent::Led {
                    shard,
                    epoch,
                    members,
                    ..
                } = &note
                {
                    tracing::info!(shard, epoch, ?members, "a shard is led here");
                }
                side.history.record(&note);
            }
        }
    }

    /// The disk's answers.
    pub(super) fn disk_began(&mut self, reply: Result<Reply, StoreError>) {
        if let Ok(Reply::Disk(id, boot, places)) = reply {
            self.tell_copies(Input::Disk {
                id,
                boot,
                places: places.into_iter().collect(),
            });
        }
    }

    pub(super) fn record_stored(
        &mut self,
        shard: ShardId,
        ticket: Option<u64>,
        reply: Result<Reply, StoreError>,
    ) {
        let Ok(reply) = reply else { return };
        if let Some(what) = ticket.and_then(|t| self.secondary.hooks.as_ref()?.is_for(t)) {
            step(what);
        }
        if let (Some(side), Some(ticket)) = (&mut self.cluster.replication, ticket) {
            side.kept.insert(ticket, reply);
        }
        self.tell_copies(Input::Persisted(shard));
    }

    pub(super) fn shard_read(
        &mut self,
        shard: ShardId,
        to: Name,
        reply: Result<Reply, StoreError>,
    ) {
        match reply {
            Ok(Reply::Shard(place, bytes)) => {
                let place: LogPosition = place;
                self.tell_copies(Input::Read(shard, to, place, bytes));
            }
            other => {
                if let Err(StoreError::Unsound(shard, ranges)) = other {
                    self.tell_copies(Input::Corrupt(shard, ranges));
                }
                self.tell_copies(Input::ReadFailed(shard, to));
            }
        }
    }

    /// What stands of a shard that is led here: it goes on as after a start.
    pub(super) fn shard_taken_up(
        &mut self,
        now: Micros,
        shard: ShardId,
        epoch: Epoch,
        reply: Result<Reply, StoreError>,
    ) {
        if let Err(StoreError::Unsound(shard, ranges)) = reply {
            return self.tell_copies(Input::Corrupt(shard, ranges));
        }
        let (Some(side), Ok(Reply::Stands(stands))) = (&mut self.cluster.replication, reply) else {
            return;
        };
        if !side.machine.leads(shard) {
            return;
        }
        side.open.insert(
            shard,
            Identities::new(shard, stands.marks.iter().copied(), stands.forgotten),
        );
        let Some(hooks) = &mut self.secondary.hooks else {
            return;
        };
        hooks.numbers_of(shard, epoch);
        let (calls, waits, begun) = (stands.calls.len(), stands.waits.len(), stands.begun.len());
        hooks.settle(now, stands.begun);
        hooks.wait(now, stands.waits);
        for call in stands.calls {
            // Times of another machine are not compared with this one's.
            self.go_on(now, call, true);
        }
        tracing::info!(
            shard,
            epoch,
            calls,
            waits,
            begun,
            "went on with what stood of a shard"
        );
    }
}
