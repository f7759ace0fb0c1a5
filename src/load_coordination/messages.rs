//! The inputs and outputs of a load coordinator, and the messages between a gateway and the holder of a shard.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::api::{FunctionId, WorkerId};
use crate::lease::LeaseName;

/// A copy of a function at a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CopyKey {
    /// The worker.
    pub worker: WorkerId,
    /// The function.
    pub function: FunctionId,
}

/// A message between a gateway and the holder of a shard.
///
/// The first two fields are the numbers of the worker and the function. The serialized names and the order of variants and
/// fields are part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadMessage {
    /// To the holder: the sender intends to load the copy.
    #[serde(rename = "Wants")]
    Request(u32, u64),
    /// To the holder: the sender's load has ended, with this number of resident copies.
    Ended(u32, u64, u32),
    /// To all: the named gateway loads the copy.
    #[serde(rename = "Orders")]
    Assigned(u32, u64, Arc<str>),
    /// To all: this number of copies is resident.
    #[serde(rename = "Stands")]
    Resident(u32, u64, u32),
}

impl LoadMessage {
    /// The copy that the message refers to.
    pub(super) fn copy(&self) -> CopyKey {
        let (LoadMessage::Request(worker, function)
        | LoadMessage::Ended(worker, function, _)
        | LoadMessage::Assigned(worker, function, _)
        | LoadMessage::Resident(worker, function, _)) = self;
        CopyKey {
            worker: WorkerId(*worker),
            function: FunctionId(*function),
        }
    }
}

/// An event for a load coordinator.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The decision module orders a copy; the order has this number.
    Order(u64, CopyKey),
    /// The decision module no longer needs the order.
    Cancel(u64),
    /// An order that was sent has ended, with this number of resident copies.
    Ended(u64, u32),
    /// Whether this gateway holds the lease of a shard.
    LeaseChanged(LeaseName, bool),
    /// Whether any gateway holds the lease of a shard, as far as this gateway knows.
    HolderKnown(LeaseName, bool),
    /// As the holder: a message of another gateway arrived.
    ReportReceived(Arc<str>, LoadMessage),
    /// An announcement of the holder arrived.
    Announced(LoadMessage),
    /// A deadline has passed.
    Tick,
}

/// An action that a load coordinator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send the load order to the worker.
    Load(u64),
    /// The order is not needed: this number of copies is resident.
    AlreadyResident(u64, u32),
    /// Send a message to the holder of a shard.
    Report(LeaseName, LoadMessage),
    /// Send a message to all gateways, as the holder of a shard.
    Announce(LeaseName, LoadMessage),
}
