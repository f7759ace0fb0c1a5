//! The gateway itself: the event loop's events to connections, connections to the core, the core's commands back.
//!
//! Callbacks only note what is ready; all work is done after them, in [`Gateway::run`].

use std::collections::{BTreeSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::signals::Signal;
use calloop::{Interest, LoopHandle, Mode, PostAction};
use slotmap::{new_key_type, SlotMap};

use crate::api::{FunctionId, Micros, WorkerEntry, WorkerId, WorkerStatus};
use crate::clock::Clock;
use crate::completion::{CloseReason, SendProgress};
use crate::config::Config;
use crate::core::{AttemptKey, Core, RequestKey};
use crate::discovery::WatchStream;
use crate::membership::config::Gossip;
use crate::net::{self, Connection};
use crate::worker::{Completed, Exchange, WorkerConnection};

mod accepting;
mod admin_api;
mod client_slots;
mod clients;
mod commands;
mod connections;
mod consensus;
mod deadlines;
mod discovery_state;
mod endpoint_updates;
mod error;
mod event_loop;
mod gossip;
mod health_checks;
mod history;
mod hot_restart;
mod listeners;
mod load_coordination;
mod operations;
mod reload;
mod replication;
mod secondary_listeners;
mod startup;
mod tenants;
mod webhooks;
mod worker_connections;
mod worker_routes;

use client_slots::ClientSlots;
use clients::CLIENT_IDLE_TIMEOUT;
use deadlines::GatewayDeadline;
use discovery_state::DiscoveryState;
pub use error::GatewayError;
use listeners::{ListenerKind, Listeners};
use operations::OperationsDriver;
use secondary_listeners::SecondaryListeners;
use webhooks::{JobKey, PortalLink};
use worker_routes::WorkerRoutes;

new_key_type! {
    /// The slot of a connection.
    pub struct ConnKey;
}

/// Who is owed the answer to a call.
#[derive(Clone, Copy, Debug)]
enum Origin {
    /// The client of a connection.
    Client(ConnKey),
    /// A webhook's call, whose answer is delivered as a callback.
    Webhook(JobKey),
}

/// What a client's response waits for.
#[derive(Clone, Copy, Debug)]
enum PendingResponse {
    /// The decision module.
    Call(RequestKey),
    /// The store.
    Store,
}

/// What a connection is for, with the state of its protocol.
#[derive(Debug)]
enum Role {
    /// A client of one of the listeners.
    Client {
        kind: ListenerKind,
        pending: Option<PendingResponse>,
        keep_alive: bool,
    },
    /// A worker.
    Worker(WorkerConnection),
    /// Service discovery.
    Discovery(WatchStream),
    /// A client of the operator console.
    Console,
    /// Another gateway of the consensus group.
    Peer(consensus::Peer),
    /// An endpoint to which callbacks are delivered.
    Portal(PortalLink),
}

/// The subsystems that run between gateways, as far as they are switched on.
#[derive(Debug, Default)]
struct ClusterDrivers {
    /// The workers that are ready, while one of the subsystems needs to know.
    ready: Option<BTreeSet<WorkerId>>,
    gossip: Option<gossip::GossipDriver>,
    consensus: Option<consensus::ConsensusDriver>,
    health_checks: Option<health_checks::HealthCheckDriver>,
    loads: Option<load_coordination::LoadDriver>,
    replication: Option<replication::ReplicationDriver>,
    tenants: Option<tenants::TenantDriver>,
}

impl ClusterDrivers {
    /// Whether something waits to be read or accepted.
    fn busy(&self) -> bool {
        self.gossip.as_ref().is_some_and(gossip::GossipDriver::busy)
            || self
                .consensus
                .as_ref()
                .is_some_and(consensus::ConsensusDriver::busy)
    }
}

/// What else an operator has switched on at the start.
#[derive(Debug, Default)]
pub struct OptionalSubsystems {
    /// Gossip between instances.
    pub gossip: Option<Gossip>,
    /// Consensus between gateways.
    pub consensus: Option<crate::consensus::config::ConsensusConfig>,
    /// Replication of the store to other gateways.
    pub replication: Option<crate::replication::config::ReplicationFile>,
}

/// One gateway.
#[derive(Debug)]
pub struct Gateway {
    handle: LoopHandle<'static, Gateway>,
    clock: Clock,
    config: Config,
    core: Core<Origin>,
    discovery: DiscoveryState,
    connections: SlotMap<ConnKey, (Connection, Role)>,
    routes: WorkerRoutes,
    listeners: Listeners,
    client_slots: ClientSlots,
    secondary: SecondaryListeners,
    cluster: ClusterDrivers,
    ops: OperationsDriver,
    /// Connections on which something can be read.
    ready: Vec<ConnKey>,
    /// Connections on which something may wait to be written.
    dirty: Vec<ConnKey>,
    /// Exchanges that have ended and that the core has not been told of.
    completed: VecDeque<Completed>,
    signals: Vec<Signal>,
    stop: bool,
}

impl Gateway {
    /// The counters so far.
    pub fn counters(&self) -> &crate::counters::Counters {
        &self.core.counters
    }
}
