//! The start of a gateway: its listeners, the configured list of workers, and its subsystems.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::TcpListener;

use calloop::LoopHandle;
use slotmap::SlotMap;

use super::secondary_listeners::TenantAgreement;
use super::{
    CallIdentities, ClientSlots, ClientTurns, ClusterDrivers, DiscoveryState, Gateway,
    GatewayDeadline, GatewayError, ListenerKind, Listeners, OperationsDriver, OptionalSubsystems,
    SecondaryListeners, WorkerRoutes,
};
use crate::api::{ListUpdate, Micros, WorkerEntry, WorkerId, WorkerStatus};
use crate::clock::Clock;
use crate::config::{Config, Operator};
use crate::core::Core;
use crate::discovery::WatchEvent;
use crate::net::ArrivalDating;
use crate::operations::loop_timing::LoopTimer;
use crate::operations::memory_budget::MemoryBudget;

/// Converts between the core's rates, per microsecond, and the rates per second in the processes'
/// state files.
pub(super) const MICROS_PER_SECOND: f64 = 1e6;

impl Gateway {
    /// Binds the listeners, applies the configured list of workers and sets up the subsystems;
    /// [`Gateway::run`] serves.
    ///
    /// # Errors
    ///
    /// [`GatewayError`]: an address, a file or the event loop cannot be used.
    pub fn new(
        config: Config,
        operator: Operator,
        subsystems: OptionalSubsystems,
        inherited: Option<TcpListener>,
        handle: LoopHandle<'static, Gateway>,
        mut clock: Clock,
    ) -> Result<Gateway, GatewayError> {
        let now = clock.now();
        let arrivals = ArrivalDating::new(now, clock.system_offset());
        let has_secondary = operator.webhooks.is_some() || operator.admin.is_some();
        let memory = MemoryBudget::new(config.limits.memory_bytes());
        let identities = CallIdentities::in_memory(config.limits.memory_bytes());
        let mut gateway = Gateway {
            handle,
            clock,
            core: Core::new(config.settings.clone(), config.seed, now),
            discovery: DiscoveryState {
                last_revision: config.initial_revision,
                ..DiscoveryState::default()
            },
            config,
            connections: SlotMap::with_key(),
            routes: WorkerRoutes::default(),
            listeners: Listeners::default(),
            client_slots: ClientSlots::new(has_secondary),
            identities,
            secondary: SecondaryListeners::default(),
            cluster: ClusterDrivers::default(),
            ops: OperationsDriver::default(),
            ready: Vec::new(),
            turns: ClientTurns::default(),
            dirty: Vec::new(),
            completed: VecDeque::new(),
            signals: Vec::new(),
            timer: LoopTimer::new(now),
            memory,
            arrivals,
            stop: false,
        };
        // Another process's exclusions apply from the start.
        if inherited.is_some() {
            gateway.start_hot_restart(now);
        }
        let ready = gateway.apply_known_events(now);
        // Clients connect only once the list is applied, however long it is.
        gateway.listen_for_platform(inherited)?;
        gateway.update_client_limits(now);
        gateway
            .core
            .schedule(now, GatewayDeadline::DiscoveryReconnect.into());
        gateway.set_up_console()?;
        let tenant_agreement = match &subsystems.replication {
            Some(_) => TenantAgreement::AmongGateways,
            None => TenantAgreement::None,
        };
        gateway.set_up_secondary(now, operator, tenant_agreement)?;
        gateway.set_up_subsystems(now, &subsystems, ready)?;
        Ok(gateway)
    }

    /// Listens for the platform's clients, on the inherited socket if there is one.
    fn listen_for_platform(&mut self, inherited: Option<TcpListener>) -> Result<(), GatewayError> {
        let Some(socket) = inherited else {
            self.listen(ListenerKind::Platform, self.config.listen)?;
            self.ops.lifecycle.start();
            return Ok(());
        };
        self.listen_on_inherited(socket)?;
        let now = self.clock.now();
        self.core.schedule(now, GatewayDeadline::HotRestart.into());
        Ok(())
    }

    /// Sets up the subsystems that run between gateways.
    fn set_up_subsystems(
        &mut self,
        now: Micros,
        subsystems: &OptionalSubsystems,
        ready: BTreeSet<WorkerId>,
    ) -> Result<(), GatewayError> {
        if subsystems.gossip.is_some() || subsystems.consensus.is_some() {
            self.cluster.ready_workers = Some(ready.clone());
        }
        if let Some(gossip) = &subsystems.gossip {
            self.set_up_gossip(now, gossip, ready.clone())?;
        }
        if let Some(consensus) = &subsystems.consensus {
            self.set_up_consensus(now, consensus, ready)?;
        }
        if let Some(replication) = &subsystems.replication {
            self.start_replication(now, replication)?;
        }
        Ok(())
    }

    /// Applies the configured list of workers; returns the workers that are ready.
    fn apply_known_events(&mut self, now: Micros) -> BTreeSet<WorkerId> {
        let mut workers: BTreeMap<WorkerId, WorkerEntry> = BTreeMap::new();
        for event in self.config.initial_updates.clone() {
            if event.snapshot {
                workers.clear();
            }
            if let Some(removal) = self.removal_of_superseded(&event) {
                workers.extend(self.apply_known_event(&removal));
            }
            workers.extend(self.apply_known_event(&event));
        }
        for entry in workers.values() {
            let draining = entry.status != WorkerStatus::Ready;
            self.discovery
                .endpoints
                .set_draining(entry.worker, draining);
        }
        let ready = workers
            .values()
            .filter(|entry| entry.status == WorkerStatus::Ready)
            .map(|entry| entry.worker)
            .collect();
        let listed = workers
            .into_values()
            .filter(|entry| entry.status != WorkerStatus::Removed)
            .collect();
        self.core.update_workers(now, ListUpdate::Cached, listed);
        ready
    }

    /// Applies an update of the configured list; returns the workers in it.
    fn apply_known_event(&mut self, event: &WatchEvent) -> Vec<(WorkerId, WorkerEntry)> {
        let names = event
            .endpoints
            .iter()
            .map(|endpoint| endpoint.name.as_str());
        let applied = self.discovery.endpoints.apply(event);
        let overridden = self
            .ops
            .overrides
            .apply_list(event.snapshot, names.zip(applied.workers));
        self.discovery.last_revision = self.discovery.last_revision.max(event.revision);
        overridden
            .into_iter()
            .map(|entry| (entry.worker, entry))
            .collect()
    }

    /// Sets this process's share of the gateway's limits, which all processes of the gateway
    /// divide.
    pub(super) fn update_client_limits(&mut self, now: Micros) {
        if let Some(hot_restart) = &self.ops.hot_restart {
            let siblings = hot_restart.siblings();
            let (load_rate_limit, overload_multiple) = siblings.limits(&self.config.settings);
            let observed_capacity = siblings.observed_capacity() / MICROS_PER_SECOND;
            self.core.set_instance_limits(
                now,
                load_rate_limit,
                overload_multiple,
                observed_capacity,
            );
        }
        self.client_slots
            .set_max_descriptors(self.max_descriptors());
        let memory_limit = self.config.limits.memory_bytes() / self.process_count();
        self.memory.set_limit(memory_limit);
    }

    /// The number of descriptors that this process may hold.
    pub(super) fn max_descriptors(&self) -> usize {
        self.config.limits.sockets / self.process_count()
    }
}
