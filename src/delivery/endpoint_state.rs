//! State of one endpoint: its limits, its loaded messages and what the store still has.

use std::collections::{BTreeSet, HashSet, VecDeque};

use super::breaker::{CircuitBreaker, RetryBudget, TokenBucket};
use super::ids::Seq;
use super::messages::{Enabled, EndpointSettings};
use super::timing_wheel::TimerKey;
use crate::api::Micros;

#[derive(Debug)]
pub(super) struct EndpointState {
    pub(super) settings: EndpointSettings,
    pub(super) breaker: CircuitBreaker,
    pub(super) bucket: Option<TokenBucket>,
    pub(super) budget: RetryBudget,
    /// Due messages without an attempt so far, in the order in which they became due.
    pub(super) first_attempts: VecDeque<Seq>,
    /// Due messages to be retried, in the order in which they became due.
    pub(super) retries: VecDeque<Seq>,
    pub(super) in_flight: u32,
    /// All loaded messages of the endpoint.
    pub(super) loaded: BTreeSet<Seq>,
    /// Earliest due time of the messages that are only in the store.
    pub(super) next_stored_at: Option<Micros>,
    /// Whether a fetch from the store is pending.
    pub(super) fetching: bool,
    /// Messages that changed during the pending fetch. Their fetched copies are outdated.
    pub(super) changed_while_fetching: HashSet<Seq>,
    /// Time at which the endpoint is queued for sending again, and the timer for that time.
    pub(super) recheck: Option<(Micros, TimerKey)>,
}

impl EndpointState {
    /// Returns the number of loaded messages that are due.
    pub(super) fn ready(&self) -> usize {
        self.first_attempts.len() + self.retries.len()
    }

    /// Records that the store has a message with this due time.
    pub(super) fn note_stored(&mut self, due: Micros) {
        self.next_stored_at = Some(self.next_stored_at.map_or(due, |s| s.min(due)));
    }

    /// Creates the state of a new endpoint.
    pub(super) fn new(plan: EndpointSettings, now: Micros) -> Self {
        EndpointState {
            settings: plan,
            breaker: CircuitBreaker::default(),
            bucket: None,
            budget: RetryBudget::new(now),
            first_attempts: VecDeque::new(),
            retries: VecDeque::new(),
            in_flight: 0,
            loaded: BTreeSet::new(),
            next_stored_at: None,
            fetching: false,
            changed_while_fetching: HashSet::new(),
            recheck: None,
        }
    }

    /// Returns the message to send now. If no message may be sent, the error is the time from which
    /// sending is allowed, or `None` if that depends on another event. Retries go before first
    /// attempts while the retry budget permits retries.
    pub(super) fn next_message(&mut self, now: Micros) -> Result<Seq, Option<Micros>> {
        if self.settings.enabled != Enabled::Yes || self.ready() == 0 {
            return Err(None);
        }
        if self.in_flight
            >= self
                .breaker
                .attempts_allowed(now, self.settings.in_flight.max(1))
                .map_err(Some)?
        {
            return Err(None);
        }
        if let Some(bucket) = &mut self.bucket {
            bucket.ready(now).map_err(Some)?;
        }
        match (self.retries.front(), self.first_attempts.front()) {
            (Some(seq), fresh) => match (self.budget.ready(now), fresh) {
                (Ok(()), _) => Ok(*seq),
                (Err(_), Some(fresh)) => Ok(*fresh),
                (Err(at), None) => Err(Some(at)),
            },
            (None, Some(seq)) => Ok(*seq),
            (None, None) => Err(None),
        }
    }
}
