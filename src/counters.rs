//! Counters of requests, attempts and connections, printed on request and at exit.
//!
//! Dashboards depend on the printed keys, so a renamed field keeps its key.

use std::collections::BTreeMap;
use std::fmt;

use crate::api::ClassId;
use crate::completion::CloseReason;

/// Counts of the final answers to calls of one class. A call whose client disconnects first has no answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct FinalAnswerCounts {
    /// Calls answered with a worker's response body.
    pub served: u64,
    /// Calls rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Calls failed.
    pub failed: u64,
}

/// Counts since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counters {
    /// Calls received, whether they were admitted or rejected.
    #[serde(rename = "taken")]
    pub received: u64,
    /// Calls answered with a worker's response body.
    pub served: u64,
    /// Calls rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Calls failed.
    pub failed: u64,
    /// Calls whose client disconnected before the answer.
    #[serde(rename = "left")]
    pub client_disconnects: u64,
    /// Calls that the core answered after their grace period because the decision module had not.
    pub overdue: u64,
    /// Attempts sent.
    pub sent: u64,
    /// Attempts whose last byte was written to a worker.
    pub written: u64,
    /// Load orders for at least one copy.
    #[serde(rename = "orders")]
    pub load_orders: u64,
    /// Load orders for 0 copies, which query the number of loaded copies.
    #[serde(rename = "asks")]
    pub load_queries: u64,
    /// Load orders that a worker rejected.
    #[serde(rename = "orders_refused")]
    pub load_orders_rejected: u64,
    /// Health checks started.
    #[serde(rename = "probes")]
    pub health_checks: u64,
    /// Health checks with a positive answer.
    pub checks_alive: u64,
    /// Health checks with a negative answer: the worker accepts no new work.
    pub checks_dead: u64,
    /// Health checks without an answer.
    pub checks_unanswered: u64,
    /// Times that discovery was considered lost because its last confirmation was too old.
    pub discovery_lost: u64,
    /// Times that a worker was doubted although it was listed as ready.
    pub workers_doubted: u64,
    /// Times that a worker was suspended for lack of recent evidence that it accepts new work.
    pub workers_suspended: u64,
    /// Times that a suspended worker was used again.
    pub workers_resumed: u64,
    /// Attempts and load orders not sent because the worker's evidence had expired since the decision to send.
    pub sends_withheld: u64,
    /// Calls rejected while discovery was lost and no worker was considered healthy.
    pub rejected_without_evidence: u64,
    /// Times that the decision module examined all pending requests.
    pub settled: u64,
    /// Client connections accepted.
    pub accepted: u64,
    /// Calls rejected because memory was scarce.
    pub rejected_for_memory: u64,
    /// Connections closed because memory was scarce.
    pub closed_for_memory: u64,
    /// Calls rejected because their client had sent too much ahead of its answers.
    pub rejected_far_ahead: u64,
    /// Clients that were found to have departed with input left.
    pub departures_behind_input: u64,
    /// Turns of clients whose turn before had ended with input left.
    pub client_turns: u64,
    /// Idle client connections closed to make room for new ones.
    #[serde(rename = "yielded")]
    pub evicted_idle: u64,
    /// Requests rejected before they reached the decision module.
    pub bad_requests: u64,
    /// Worker connections opened.
    pub connects: u64,
    /// Connections to service discovery that ended, answered or not.
    pub discovery_closed: u64,
    /// Listed workers removed because discovery named another worker at their address.
    pub workers_superseded: u64,
    /// Worker replies that matched no exchange in flight.
    pub unmatched: u64,
    /// Worker replies, and input from service discovery, that could not be parsed.
    pub unreadable: u64,
    /// Calls rejected because a call with the same identity may have run.
    pub repeated_identities: u64,
    /// Calls rejected because their identity could not be recorded.
    pub identities_unavailable: u64,
    /// Webhook calls rejected for their signature, time or identity.
    #[serde(rename = "webhooks_refused")]
    pub webhooks_rejected: u64,
    /// Webhook calls accepted.
    #[serde(rename = "webhooks_taken")]
    pub webhooks_accepted: u64,
    /// Callbacks that an endpoint confirmed.
    pub callbacks_delivered: u64,
    /// Abandoned callbacks that no endpoint can have received.
    pub callbacks_undelivered: u64,
    /// Callbacks that an endpoint may or may not have received.
    pub callbacks_unknown: u64,
    /// Bytes of gossip datagrams sent to other instances.
    pub gossip_bytes: u64,
    /// Gossip datagrams sent to other instances.
    pub gossip_datagrams: u64,
    /// Gossip datagrams, or parts of one, that were rejected.
    #[serde(rename = "gossip_refused")]
    pub gossip_rejected: u64,
    /// Other instances that gossip considers alive.
    pub gossip_alive: u64,
    /// Ended attempts by [`CloseReason::name`].
    #[serde(rename = "endings")]
    pub attempt_outcomes: BTreeMap<&'static str, u64>,
    /// Final answers by class, in the order of the settings.
    #[serde(rename = "ends")]
    pub answers_by_class: Vec<FinalAnswerCounts>,
}

/// The three kinds of final answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// Answered with a worker's response body.
    Served,
    /// Rejected; a retry is harmless.
    Rejected,
    /// Failed; the call may or may not have run.
    Failed,
}

impl Counters {
    /// Counts the final answer to a call, in total and for its class.
    pub fn count_answer(&mut self, class: ClassId, answer: FinalAnswer) {
        let mut unknown_class = FinalAnswerCounts::default();
        let of_class = self
            .answers_by_class
            .get_mut(usize::from(class.0))
            .unwrap_or(&mut unknown_class);
        let (total, in_class) = match answer {
            FinalAnswer::Served => (&mut self.served, &mut of_class.served),
            FinalAnswer::Rejected => (&mut self.rejected, &mut of_class.rejected),
            FinalAnswer::Failed => (&mut self.failed, &mut of_class.failed),
        };
        *total += 1;
        *in_class += 1;
    }

    /// Counts the end of an attempt.
    pub fn count_attempt_end(&mut self, reason: CloseReason) {
        *self.attempt_outcomes.entry(reason.name()).or_default() += 1;
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = serde_json::to_string(self).map_err(|_| fmt::Error)?;
        f.write_str(&text)
    }
}
