//! Inputs and outputs of delivery, and the data in them.

use serde::{Deserialize, Serialize};

use super::ids::{EndpointId, Seq};
use super::response::{DeliveryReport, MessageState};
use super::schedule::Schedule;
use crate::api::{Effect, Micros};

/// A message that waits to be delivered, without its body.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PendingMessage {
    /// The message.
    pub seq: Seq,
    /// The endpoint that it goes to.
    pub endpoint: EndpointId,
    /// When its next attempt is due.
    pub due: Micros,
    /// Which retries are safe.
    pub effect: Effect,
    /// When the first attempt was sent that the endpoint may have received.
    pub maybe_received_at: Option<Micros>,
    /// The number of attempts so far.
    pub tries: u32,
    /// The size of its body in bytes.
    pub size: u32,
}

/// Whether messages are sent to an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Enabled {
    /// Messages are sent.
    #[default]
    Yes,
    /// An operator disabled the endpoint. Its messages wait.
    #[serde(rename = "by_hand")]
    DisabledByOperator,
    /// The endpoint was disabled because it answered 410 or failed for too long. Its messages wait.
    #[serde(rename = "by_failure")]
    DisabledByFailure,
}

/// An endpoint's settings.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSettings {
    /// Serial number of the endpoint's tenant.
    pub tenant: u64,
    /// Whether messages are sent to it.
    pub enabled: Enabled,
    /// Maximum rate of attempts per second; 0 for no limit.
    pub per_s: f64,
    /// Maximum number of attempts in flight.
    pub in_flight: u32,
    /// Pauses before retries.
    pub schedule: Schedule,
}

/// Limits on loaded messages and attempts in flight, and the time after which an endpoint is
/// disabled.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of attempts in flight, over all endpoints.
    pub max_in_flight: u32,
    /// Maximum number of loaded messages of one endpoint that are due.
    pub max_ready_per_endpoint: usize,
    /// Maximum number of loaded messages, over all endpoints.
    pub max_loaded: usize,
    /// How far ahead of their due time messages are loaded, in microseconds.
    pub load_horizon: Micros,
    /// Time without a success after which a failing endpoint is disabled, in microseconds.
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

/// An event that delivery reacts to.
#[derive(Debug)]
pub enum Input {
    /// An endpoint was added or has changed.
    EndpointChanged(EndpointId, EndpointSettings),
    /// An endpoint was removed.
    EndpointRemoved(EndpointId),
    /// A message was committed to the store and waits.
    MessagePending(PendingMessage),
    /// The store has messages of an endpoint, the first of them due at this time.
    Stored(EndpointId, Micros),
    /// The answer to [`Output::Fetch`]: the first waiting messages, and when the next one is due.
    Fetched(EndpointId, Vec<PendingMessage>, Option<Micros>),
    /// An attempt ended.
    AttemptEnded(Seq, DeliveryReport),
    /// A message was removed from the store or no longer waits in it.
    MessageRemoved(Seq),
    /// The time of [`super::Delivery::next_deadline`] is reached.
    Tick,
    /// The gateway shuts down: no further attempt is begun.
    Stop,
}

/// An action for the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Begin an attempt. If `recorded`, the start is committed before a byte is sent.
    Begin {
        /// The message.
        seq: Seq,
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether the attempt must be recorded before it is sent.
        recorded: bool,
    },
    /// Store the state of a message.
    Persist {
        /// The message with its next due time and attempts.
        message: PendingMessage,
        /// The new state of the message.
        state: MessageState,
        /// The attempt that led to the state, if any.
        attempt: Option<DeliveryReport>,
    },
    /// Fetch up to this number of the endpoint's first waiting messages from the store.
    Fetch(EndpointId, usize),
    /// An endpoint was disabled for this reason.
    EndpointDisabled(EndpointId, &'static str),
    /// End all waiting messages of a removed endpoint.
    Purge(EndpointId),
}

/// The state of an endpoint, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Health {
    /// The breaker's state.
    pub breaker: &'static str,
    /// When the current run of failures began, in Unix microseconds.
    pub failing_since: Option<Micros>,
    /// Attempts in flight.
    pub in_flight: u32,
}
