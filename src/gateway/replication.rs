//! Drives the replication of shards: it carries out what the [`Replicator`] decides, and reports
//! the results to it.
//!
//! The outputs are in [`outputs`], the store's replies in [`store_replies`], and requests to
//! primaries in [`requests`].

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::path::Path;
use std::sync::Arc;

use super::history::History;
use super::{consensus, webhooks, Gateway, GatewayDeadline, GatewayError};
use crate::api::Micros;
use crate::config::ConfigError;
use crate::replication::config::{DisabledGuards, ReplicationFile, WhenFewer};
use crate::replication::identities::{Identities, IdentityDigest};
use crate::replication::replicator::{Input, Replicator};
use crate::replication::wire::Message;
use crate::replication::{Name, ShardId};
use crate::store::operations::Reply;
use crate::tenancy::replicated::changes::Settings as TenantSettings;

mod outputs;
mod requests;
mod store_replies;

pub(super) use requests::{PrimaryRequest, RequestOrigin};

/// The replication of shards, while it is on.
#[derive(Debug)]
pub(super) struct ReplicationDriver {
    replicator: Replicator,
    file: ReplicationFile,
    /// The shards of which this process is the primary and whose state was loaded, with the
    /// identities that were used.
    pub(super) open_shards: BTreeMap<ShardId, Identities>,
    /// The store's replies to records that are not committed yet.
    uncommitted_replies: HashMap<u64, Reply>,
    pending_requests: HashMap<u64, RequestOrigin>,
    last_request: u64,
    /// When the scheduled deadline is due.
    tick_at: Option<Micros>,
    shutdown_started: bool,
    history: History,
}

/// Aborts the process at a step of a call, if a test has requested it; a release build never does.
pub(super) fn fault_injection_point(step: &str) {
    let is_chosen = || std::env::var("MOLELUG_ENDS_AT").is_ok_and(|chosen| chosen == step);
    let is_armed = || std::env::var("MOLELUG_ENDS_IF").is_ok_and(|file| Path::new(&file).exists());
    if cfg!(debug_assertions) && is_chosen() && is_armed() {
        std::process::abort();
    }
}

/// Returns the guards that a test disables; a release build disables none.
fn disabled_guards() -> DisabledGuards {
    let mut guards = DisabledGuards::default();
    if cfg!(debug_assertions) {
        match std::env::var("MOLELUG_WITHOUT").as_deref() {
            Ok("epochs") => guards.epoch_check = true,
            Ok("all") => guards.full_acknowledgement = true,
            Ok("process") => guards.process_check = true,
            Ok("chain") => guards.chain_check = true,
            Ok("agreed") => guards.tenant_agreement = true,
            Ok("want") => guards.min_replicas_check = true,
            Ok("sound") => guards.integrity_check = true,
            Ok("ahead") => guards.ahead_check = true,
            _ => {}
        }
    }
    guards
}

fn missing_setting(setting: &'static str) -> GatewayError {
    let reason = "absent, and copies need it";
    GatewayError::Operator(ConfigError::Value(setting, reason.into()))
}

impl ReplicationDriver {
    /// Returns the number of replicas that a call of a class needs.
    pub(super) fn min_replicas(&self, class: &str) -> usize {
        match self.file.when_fewer.get(class).copied().unwrap_or_default() {
            WhenFewer::Refuse => self.file.copies,
            WhenFewer::Fewer => 1,
        }
    }

    /// Returns the shard of an identity.
    pub(super) fn shard_of(&self, identity: &IdentityDigest) -> ShardId {
        crate::replication::shard_of(identity, self.file.shards)
    }
}

impl Gateway {
    /// Starts replication.
    ///
    /// # Errors
    ///
    /// Consensus or the store is off, this gateway is not a member, or a history cannot be opened.
    pub(super) fn start_replication(
        &mut self,
        now: Micros,
        file: &ReplicationFile,
    ) -> Result<(), GatewayError> {
        let Some(identity) = self.consensus_identity() else {
            return Err(missing_setting("--council"));
        };
        let consensus::Identity {
            name,
            process,
            history: history_path,
        } = identity;
        let webhooks = self.secondary.webhooks.as_ref();
        if !webhooks.is_some_and(webhooks::WebhookDriver::durable) {
            return Err(missing_setting("webhooks.store"));
        }
        if !file.members.contains_key(&*name) {
            return Err(GatewayError::Operator(ConfigError::Value(
                "copies.members",
                format!("{name} is not among them"),
            )));
        }
        let open_history = |file_name| {
            History::beside(history_path.as_deref(), file_name, &name, process)
                .map_err(|error: io::Error| GatewayError::Loop(error.into()))
        };
        let history = open_history("copies.jsonl")?;
        let tenant_history = open_history("tenants.jsonl")?;
        let settings = file.settings(&name, process, disabled_guards());
        let tenant_settings = TenantSettings {
            name: name.clone(),
            process,
            replicas: settings.replicas,
            agreement_timeout: settings.request_timeout,
            confirm_before_agreement: settings.disabled_guards.tenant_agreement,
        };
        let addresses = file.members.iter();
        self.add_peer_addresses(
            addresses.map(|(name, member)| (name.as_str().into(), member.address)),
        );
        self.cluster.replication = Some(ReplicationDriver {
            replicator: Replicator::new(settings, consensus::uptime()),
            file: file.clone(),
            open_shards: BTreeMap::new(),
            uncommitted_replies: HashMap::new(),
            pending_requests: HashMap::new(),
            last_request: 0,
            tick_at: None,
            shutdown_started: false,
            history,
        });
        self.set_up_tenants(now, tenant_settings, tenant_history);
        self.update_replica_sets();
        if let Some(webhooks) = &mut self.secondary.webhooks {
            webhooks.register_disk(process ^ self.config.seed, false);
        }
        self.step_replication(now);
        Ok(())
    }

    /// Passes an input to the replicator, if replication is on.
    pub(super) fn notify_replicator(&mut self, input: Input) {
        if let Some(driver) = &mut self.cluster.replication {
            driver.replicator.handle(consensus::uptime(), input);
        }
    }

    /// Passes the agreed replica sets to the replicator, after they have changed.
    pub(super) fn update_replica_sets(&mut self) {
        if self.cluster.replication.is_none() {
            return;
        }
        if let Some(sets) = self.agreed_replica_sets() {
            self.notify_replicator(Input::SetsChanged(Arc::new(sets)));
        }
    }

    /// Passes a message of another gateway to the replicator.
    pub(super) fn receive_replication_message(&mut self, from: Name, message: Message) {
        self.notify_replicator(Input::Received(from, message));
    }

    /// Handles the deadline of replication.
    pub(super) fn tick_replication(&mut self) {
        if let Some(driver) = &mut self.cluster.replication {
            driver.tick_at = None;
        }
        self.notify_replicator(Input::Tick);
    }

    /// Returns the number of replicas of a shard.
    pub(super) fn replica_count(&self, shard: ShardId) -> u8 {
        let driver = self.cluster.replication.as_ref();
        let replica = driver.and_then(|driver| driver.replicator.shards().get(&shard));
        // A replica set has at most five members.
        replica.map_or(0, |replica| replica.set.members.len().min(255) as u8)
    }

    /// Returns the gateways to which replication keeps connections.
    pub(super) fn replication_peers(&self) -> Vec<Name> {
        let driver = self.cluster.replication.as_ref();
        driver.map_or(Vec::new(), |driver| {
            driver.replicator.peers().cloned().collect()
        })
    }

    /// Hands this process's shards over to other gateways, at the end of the process. Returns
    /// `true` once it is the primary of no shard.
    pub(super) fn hand_over_shards(&mut self) -> bool {
        let Some(driver) = &mut self.cluster.replication else {
            return true;
        };
        if !driver.replicator.is_any_primary() {
            return true;
        }
        if !std::mem::replace(&mut driver.shutdown_started, true) {
            self.notify_replicator(Input::GracefulShutdown);
        }
        false
    }

    /// Handles one waiting record or one output of the replicator; returns whether there was one.
    pub(super) fn step_replication(&mut self, now: Micros) -> bool {
        let Some(driver) = &mut self.cluster.replication else {
            return false;
        };
        let webhooks = self.secondary.webhooks.as_mut();
        if let Some(append) = webhooks.and_then(|webhooks| webhooks.pending_appends.pop_front()) {
            let (waiter, shard, record, min_replicas) = append;
            let input = Input::Append {
                shard,
                waiter,
                record,
                min_replicas,
            };
            driver.replicator.handle(consensus::uptime(), input);
            return true;
        }
        if let Some(output) = driver.replicator.next_output() {
            self.perform_replication_output(now, output);
            return true;
        }
        self.schedule_replication_tick(now);
        false
    }

    /// Schedules the next deadline, unless one is scheduled that is due no later.
    fn schedule_replication_tick(&mut self, now: Micros) {
        let Some(driver) = &mut self.cluster.replication else {
            return;
        };
        let deadline = driver.replicator.next_deadline();
        let next = now + deadline.saturating_sub(consensus::uptime()).max(1);
        if driver.tick_at.is_some_and(|at| at <= next && at > now) {
            return;
        }
        if let Some(at) = driver.tick_at.replace(next) {
            self.core
                .unschedule(at, GatewayDeadline::Replication.into());
        }
        self.core
            .schedule(next, GatewayDeadline::Replication.into());
    }
}
