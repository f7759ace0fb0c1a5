//! The gateway: passes the event loop's events to connections, the connections' input to the core,
//! and the core's commands back to connections.
//!
//! The event loop's callbacks only mark what is ready; [`Gateway::run`] does the work after them.

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
use crate::net::{self, ArrivalDating, Connection};
use crate::operations::loop_timing::{LoopFigures, LoopTimer};
use crate::operations::memory_budget::MemoryBudget;
use crate::worker::{Completed, Exchange, WorkerConnection};

mod accepting;
mod admin_api;
mod call_identities;
mod client_slots;
mod client_turns;
mod clients;
mod commands;
mod connections;
mod consensus;
mod deadlines;
mod discovery_state;
mod endpoint_updates;
mod error;
mod event_loop;
mod former_tenants;
mod gossip;
mod health_checks;
mod history;
mod hot_restart;
mod listeners;
mod load_coordination;
mod memory;
mod operations;
mod reload;
mod replication;
mod secondary_listeners;
mod startup;
mod tenants;
mod webhooks;
mod worker_connections;
mod worker_routes;

use call_identities::CallIdentities;
use client_slots::ClientSlots;
use client_turns::ClientTurns;
use clients::CLIENT_IDLE_TIMEOUT;
use deadlines::GatewayDeadline;
use discovery_state::DiscoveryState;
pub use error::GatewayError;
use listeners::{ListenerKind, Listeners};
use operations::OperationsDriver;
use secondary_listeners::SecondaryListeners;
use webhooks::{OpenCallKey, PortalConnection};
use worker_routes::WorkerRoutes;

new_key_type! {
    /// The key of a connection.
    pub struct ConnKey;
}

/// The receiver of the answer to a call.
#[derive(Clone, Copy, Debug)]
enum Origin {
    /// The client of a connection.
    Client(ConnKey),
    /// A webhook call, whose answer is delivered as a callback.
    Webhook(OpenCallKey),
}

/// The source of the response that a client waits for.
#[derive(Clone, Copy, Debug)]
enum PendingResponse {
    /// The decision module.
    Call(RequestKey),
    /// The store.
    Store,
}

/// The kind of a connection's peer, with the state of its protocol.
#[derive(Debug)]
enum Role {
    /// A client of one of the listeners.
    Client {
        kind: ListenerKind,
        pending: Option<PendingResponse>,
        keep_alive: bool,
        /// Whether the client has sent more input ahead of a response than its buffer holds. The
        /// end of its stream may then be out of reach behind unread input.
        is_far_ahead: bool,
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
    Portal(PortalConnection),
}

/// The drivers of the subsystems between gateways; `None` if a subsystem is off.
#[derive(Debug, Default)]
struct ClusterDrivers {
    /// The workers that are ready; `None` if no subsystem uses them.
    ready_workers: Option<BTreeSet<WorkerId>>,
    gossip: Option<gossip::GossipDriver>,
    consensus: Option<consensus::ConsensusDriver>,
    health_checks: Option<health_checks::HealthCheckDriver>,
    loads: Option<load_coordination::LoadDriver>,
    replication: Option<replication::ReplicationDriver>,
    tenants: Option<tenants::TenantDriver>,
}

impl ClusterDrivers {
    /// Whether datagrams wait to be read or connections to be accepted.
    fn busy(&self) -> bool {
        self.gossip.as_ref().is_some_and(gossip::GossipDriver::busy)
            || self
                .consensus
                .as_ref()
                .is_some_and(consensus::ConsensusDriver::busy)
    }
}

/// The configuration of optional subsystems; `None` if a subsystem is off.
#[derive(Debug, Default)]
pub struct OptionalSubsystems {
    /// Gossip between instances.
    pub gossip: Option<Gossip>,
    /// Consensus between gateways.
    pub consensus: Option<crate::consensus::config::ConsensusConfig>,
    /// Replication of the store to other gateways.
    pub replication: Option<crate::replication::config::ReplicationFile>,
}

/// A gateway.
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
    identities: CallIdentities,
    secondary: SecondaryListeners,
    cluster: ClusterDrivers,
    ops: OperationsDriver,
    /// Connections whose socket has become readable or writable.
    ready: Vec<ConnKey>,
    /// Clients whose last turn ended with input left.
    turns: ClientTurns,
    /// Connections that may have output to write.
    dirty: Vec<ConnKey>,
    /// Completed exchanges that have not been reported to the core.
    completed: VecDeque<Completed>,
    signals: Vec<Signal>,
    timer: LoopTimer,
    memory: MemoryBudget,
    /// When input that was read late had arrived.
    arrivals: ArrivalDating,
    stop: bool,
}

impl Gateway {
    /// The gateway's counters.
    pub fn counters(&self) -> &crate::counters::Counters {
        &self.core.counters
    }

    /// How long the event loop's passes took, and how late deadlines were served.
    pub fn loop_figures(&self) -> &LoopFigures {
        self.timer.figures()
    }
}
