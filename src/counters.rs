//! Counters of what is taken in, sent and answered; printed on request and at exit.

use std::collections::BTreeMap;
use std::fmt;

use crate::api::ClassId;
use crate::completion::CloseReason;

/// Final answers to the calls of one class. A call whose client left first has none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Ends {
    /// Answered with a worker's body.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
}

/// What has happened since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counters {
    /// Calls handed to the module.
    pub taken: u64,
    /// Calls answered with a worker's body.
    pub served: u64,
    /// Calls refused.
    pub refused: u64,
    /// Calls failed.
    pub failed: u64,
    /// Calls whose caller left first.
    pub left: u64,
    /// Calls that the core had to answer because the module had not by their time.
    pub overdue: u64,
    /// Attempts sent.
    pub sent: u64,
    /// Attempts whose last byte was written to a worker.
    pub written: u64,
    /// Orders to load.
    pub orders: u64,
    /// Questions what stands.
    pub asks: u64,
    /// Probes.
    pub probes: u64,
    /// Times that the module looked over all that is held.
    pub settled: u64,
    /// Client connections accepted.
    pub accepted: u64,
    /// Idle client connections closed to make room for new ones.
    pub yielded: u64,
    /// Requests turned away before they reached the module.
    pub bad_requests: u64,
    /// Worker connections opened.
    pub connects: u64,
    /// Worker answers that matched nothing open.
    pub unmatched: u64,
    /// Worker answers or board events that could not be read.
    pub unreadable: u64,
    /// Webhook calls refused for their signature, time or identity.
    pub webhooks_refused: u64,
    /// Webhook calls taken.
    pub webhooks_taken: u64,
    /// Callbacks that a portal confirmed.
    pub callbacks_delivered: u64,
    /// Callbacks given up that no portal can have seen.
    pub callbacks_undelivered: u64,
    /// Callbacks of which it is not known whether the portal got them.
    pub callbacks_unknown: u64,
    /// Bytes of datagrams sent to other instances.
    pub gossip_bytes: u64,
    /// Datagrams sent to other instances.
    pub gossip_datagrams: u64,
    /// Datagrams of other instances, or parts of one, that were refused.
    pub gossip_refused: u64,
    /// Other instances held for alive.
    pub gossip_alive: u64,
    /// How attempts ended.
    pub endings: BTreeMap<&'static str, u64>,
    /// Final answers by class, in the order of the settings.
    pub ends: Vec<Ends>,
}

/// The three kinds of final answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    /// With a worker's body.
    Served,
    /// Refused.
    Refused,
    /// Failed.
    Failed,
}

impl Counters {
    /// Counts the one final answer to a call, in all and in its class.
    pub fn answered(&mut self, class: ClassId, how: Final) {
        let mut unknown = Ends::default();
        let ends = self
            .ends
            .get_mut(usize::from(class.0))
            .unwrap_or(&mut unknown);
        let (all, own) = match how {
            Final::Served => (&mut self.served, &mut ends.served),
            Final::Refused => (&mut self.refused, &mut ends.refused),
            Final::Failed => (&mut self.failed, &mut ends.failed),
        };
        (*all, *own) = (*all + 1, *own + 1);
    }

    /// Counts the end of an attempt.
    pub fn ended(&mut self, ending: CloseReason) {
        *self.endings.entry(ending.name()).or_default() += 1;
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match serde_json::to_string(self) {
            Ok(text) => f.write_str(&text),
            Err(_) => Err(fmt::Error),
        }
    }
}
