//! Inputs and outputs of delivery, and the data in them.

use serde::{Deserialize, Serialize};

use super::ids::{EndpointId, Seq};
use super::response::{DeliveryReport, State};
use super::schedule::Schedule;
use crate::api::{Effect, Micros};

/// What is known of a message that waits to be delivered.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Waiting {
    /// The message.
    pub seq: Seq,
    /// The endpoint that it goes to.
    pub endpoint: EndpointId,
    /// When its next attempt is due.
    pub due: Micros,
    /// How far it may be sent again.
    pub effect: Effect,
    /// When the first attempt was sent that may have arrived.
    pub ran: Option<Micros>,
    /// The number of attempts so far.
    pub tries: u32,
    /// The size of its body in bytes.
    pub size: u32,
}

/// Whether messages are sent to an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Enabled {
    /// They are.
    #[default]
    Yes,
    /// An operator disabled the endpoint. Its messages wait.
    ByHand,
    /// The endpoint was disabled because it answered 410 or failed for too long. Its messages wait.
    ByFailure,
}

/// An endpoint's settings.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointPlan {
    /// The tenant that it belongs to.
    pub tenant: u64,
    /// Whether messages are sent to it.
    pub enabled: Enabled,
    /// The most attempts a second; 0 for no such limit.
    pub per_s: f64,
    /// The most attempts in flight.
    pub in_flight: u32,
    /// When a message is retried.
    pub schedule: Schedule,
}

/// Limits on what is loaded and in flight.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The most attempts in flight, over all endpoints.
    pub max_in_flight: u32,
    /// The most due messages of one endpoint that are loaded.
    pub max_ready_per_endpoint: usize,
    /// The most messages that are loaded in all.
    pub max_loaded: usize,
    /// How far ahead of their due time messages are loaded, in microseconds.
    pub load_horizon: Micros,
    /// An endpoint that has only failed for this long, in microseconds, is disabled.
    pub disable_after: Micros,
}

impl Default for Limits {
    fn default() -> Limits {
        const DAY: Micros = 86_400_000_000;
        Limits {
            max_in_flight: 64,
            max_ready_per_endpoint: 64,
            max_loaded: 4096,
            load_horizon: 60_000_000,
            disable_after: 5 * DAY,
        }
    }
}

/// What happened.
#[derive(Debug)]
pub enum Input {
    /// An endpoint was added or has changed.
    EndpointChanged(EndpointId, EndpointPlan),
    /// An endpoint was removed.
    EndpointRemoved(EndpointId),
    /// A message was committed to the store and waits.
    MessagePending(Waiting),
    /// The store has messages of an endpoint, the first of them due at this time.
    Stored(EndpointId, Micros),
    /// The answer to [`Output::Fetch`]: the first messages that wait, and when the next one is due.
    Fetched(EndpointId, Vec<Waiting>, Option<Micros>),
    /// An attempt ended.
    AttemptEnded(Seq, DeliveryReport),
    /// A message is no longer in the store, or no longer waits there.
    MessageRemoved(Seq),
    /// A deadline is due.
    Tick,
    /// No further attempt is begun: the gateway shuts down.
    Stop,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Begin an attempt. If `recorded`, that it begins is committed before a byte is sent.
    Begin {
        /// The message.
        seq: Seq,
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether the class requires that the attempt is recorded first.
        recorded: bool,
    },
    /// Store the state of a message.
    Persist {
        /// The message with its next due time and attempts.
        message: Waiting,
        /// Its state.
        state: State,
        /// The attempt that led to the state, if one did.
        attempt: Option<DeliveryReport>,
    },
    /// Fetch so many of the endpoint's first waiting messages from the store.
    Fetch(EndpointId, usize),
    /// An endpoint was disabled, for this reason.
    EndpointDisabled(EndpointId, &'static str),
    /// End all messages that still wait for a removed endpoint.
    Purge(EndpointId),
}

/// The state of an endpoint, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Health {
    /// The breaker's state.
    pub breaker: &'static str,
    /// Since when it has only failed, in Unix microseconds.
    pub failing_since: Option<Micros>,
    /// Attempts in flight.
    pub in_flight: u32,
}
