//! What delivery knows of one endpoint: its limits, its due messages, and what the store has of it.

use std::collections::{BTreeSet, HashSet, VecDeque};

use super::breaker::{CircuitBreaker, RetryBudget, TokenBucket};
use super::ids::Seq;
use super::messages::{Enabled, EndpointPlan};
use super::timing_wheel::TimerKey;
use crate::api::Micros;

#[derive(Debug)]
pub(super) struct EndpointState {
    pub(super) plan: EndpointPlan,
    pub(super) breaker: CircuitBreaker,
    pub(super) bucket: Option<TokenBucket>,
    pub(super) budget: RetryBudget,
    /// Due messages without an attempt so far, in their order.
    pub(super) first_attempts: VecDeque<Seq>,
    /// Due messages to be retried, in their order.
    pub(super) retries: VecDeque<Seq>,
    pub(super) in_flight: u32,
    /// All of its messages that are loaded.
    pub(super) loaded: BTreeSet<Seq>,
    /// When the first of its messages that is only in the store is due.
    pub(super) next_stored_at: Option<Micros>,
    pub(super) fetching: bool,
    /// Messages that changed while others were fetched: what is fetched of these is outdated.
    pub(super) changed_while_fetching: HashSet<Seq>,
    /// When the endpoint is looked at again, and the timer for it.
    pub(super) recheck: Option<(Micros, TimerKey)>,
}

impl EndpointState {
    /// The number of due messages.
    pub(super) fn ready(&self) -> usize {
        self.first_attempts.len() + self.retries.len()
    }

    /// Notes that the store has a message that is due at this time.
    pub(super) fn note_stored(&mut self, due: Micros) {
        self.next_stored_at = Some(self.next_stored_at.map_or(due, |s| s.min(due)));
    }

    /// A new endpoint.
    pub(super) fn new(plan: EndpointPlan, now: Micros) -> Self {
        EndpointState {
            plan,
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

    /// The message that may be sent now. Otherwise the instant at which one may be sent, if that
    /// depends on time alone.
    pub(super) fn next_message(&mut self, now: Micros) -> Result<Seq, Option<Micros>> {
        if self.plan.enabled != Enabled::Yes || self.ready() == 0 {
            return Err(None);
        }
        if self.in_flight
            >= self
                .breaker
                .attempts_allowed(now, self.plan.in_flight.max(1))
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
