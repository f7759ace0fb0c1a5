//! Freshness of the endpoint list: when service discovery last confirmed it.

use crate::api::{DiscoverySignal, Micros};

/// The time without a confirmation after which discovery is lost: more than two heartbeats are
/// missing.
const LOST_AFTER: Micros = 2_500_000;
/// The time after the start at which discovery is lost if it has not confirmed the list.
const START_TIMEOUT: Micros = 600_000;
/// The quiet time after which a new stream confirms the list: missed updates come first.
const SETTLE_TIME: Micros = 200_000;

/// State of the discovery stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stream {
    Closed,
    /// It has answered and may still deliver missed updates.
    Settling(Settling),
    Current,
}

/// Progress of a new stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Settling {
    /// It has delivered nothing yet, or only part of an update or heartbeat.
    Incomplete,
    /// The time of its last complete heartbeat or update.
    QuietSince(Micros),
}

/// Whether discovery sends heartbeats, or a subscription is valid until it is reported as failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DiscoveryKind {
    Heartbeats,
    Subscription,
}

/// Tracks the age of the list.
#[derive(Debug)]
pub(super) struct DiscoveryFreshness {
    kind: DiscoveryKind,
    stream: Stream,
    started_at: Micros,
    confirmed_at: Option<Micros>,
    /// When the list was last confirmed by more than a heartbeat: by an update, or by a new stream
    /// that had delivered all missed updates.
    delivered_at: Option<Micros>,
    /// Whether the stream was reopened because a worker contradicts the list. Such a stream must
    /// deliver an update to confirm anything about that worker.
    was_reopened: bool,
    /// Whether updates seem to be withheld: a worker was listed as ready for too long after it had
    /// answered that it is unavailable. Only an update shows that updates arrive again.
    updates_withheld: bool,
    /// The start of the loss, if discovery is reported as lost.
    lost_since: Option<Micros>,
    last_signal_at: Micros,
}

/// A change to be reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DiscoveryChange {
    Lost,
    Restored { lost_for: Micros },
}

impl DiscoveryFreshness {
    pub(super) fn new(kind: DiscoveryKind, now: Micros) -> DiscoveryFreshness {
        DiscoveryFreshness {
            kind,
            stream: Stream::Closed,
            started_at: now,
            confirmed_at: None,
            delivered_at: None,
            was_reopened: false,
            updates_withheld: false,
            lost_since: None,
            last_signal_at: now,
        }
    }

    /// Handles a signal of the stream. A heartbeat confirms nothing while a worker's answer
    /// contradicts the list: updates may be withheld.
    pub(super) fn handle(&mut self, at: Micros, signal: DiscoverySignal, is_contradicted: bool) {
        // A signal that was read late counts from its arrival, in the order of the signals.
        let now = at.max(self.last_signal_at);
        self.last_signal_at = now;
        self.settle(now);
        if signal == DiscoverySignal::Update {
            self.updates_withheld = false;
            self.was_reopened = false;
        }
        match (signal, self.stream) {
            (DiscoverySignal::Opened, _) => {
                self.stream = Stream::Settling(Settling::Incomplete);
            }
            (DiscoverySignal::Closed, Stream::Current) => {
                if self.kind == DiscoveryKind::Subscription {
                    self.confirmed_at = Some(now);
                }
                self.stream = Stream::Closed;
            }
            (DiscoverySignal::Closed, _) => self.stream = Stream::Closed,
            (DiscoverySignal::Update, _) if self.kind == DiscoveryKind::Subscription => {
                self.stream = Stream::Current;
                self.confirmed_at = Some(now);
            }
            (DiscoverySignal::Update, Stream::Settling(_)) => {
                self.stream = Stream::Settling(Settling::QuietSince(now));
            }
            (DiscoverySignal::Update, Stream::Current) => {
                self.confirmed_at = Some(now);
                self.delivered_at = Some(now);
            }
            (DiscoverySignal::Heartbeat, Stream::Settling(Settling::Incomplete)) => {
                self.stream = Stream::Settling(Settling::QuietSince(now));
            }
            (DiscoverySignal::Heartbeat, Stream::Current) => {
                if !is_contradicted && !self.updates_withheld {
                    self.confirmed_at = Some(now);
                }
            }
            (DiscoverySignal::Incomplete, Stream::Settling(_)) => {
                self.stream = Stream::Settling(Settling::Incomplete);
            }
            (DiscoverySignal::Heartbeat, Stream::Settling(Settling::QuietSince(_)))
            | (DiscoverySignal::Incomplete, Stream::Current)
            | (
                DiscoverySignal::Update | DiscoverySignal::Heartbeat | DiscoverySignal::Incomplete,
                Stream::Closed,
            ) => {}
        }
    }

    /// Marks updates as withheld after the list has contradicted a worker for longer than it may
    /// lag.
    pub(super) fn mark_updates_withheld(&mut self) {
        self.updates_withheld = true;
    }

    /// Records that the stream is reopened because a worker contradicts the list.
    pub(super) fn reopen(&mut self) {
        self.was_reopened = true;
    }

    /// When the list was last confirmed by more than a heartbeat.
    pub(super) fn delivered_at(&self, now: Micros) -> Option<Micros> {
        match self.kind {
            DiscoveryKind::Heartbeats => self.delivered_at,
            DiscoveryKind::Subscription => self.confirmed_at(now),
        }
    }

    /// Whether an open stream can be reopened.
    pub(super) fn has_open_stream(&self) -> bool {
        self.kind == DiscoveryKind::Heartbeats && self.stream == Stream::Current
    }

    /// Marks a stream as current once it has been quiet for long enough to have delivered all
    /// missed updates.
    fn settle(&mut self, now: Micros) {
        if let Stream::Settling(Settling::QuietSince(quiet_since)) = self.stream {
            if now >= quiet_since + SETTLE_TIME {
                self.stream = Stream::Current;
                if !self.updates_withheld {
                    self.confirmed_at = Some(quiet_since);
                }
                if !self.was_reopened {
                    self.delivered_at = Some(quiet_since);
                }
                self.was_reopened = false;
            }
        }
    }

    /// Updates the state. Returns a change to be reported.
    pub(super) fn tick(&mut self, now: Micros) -> Option<DiscoveryChange> {
        self.settle(now);
        match (self.is_lost(now), self.lost_since) {
            (true, None) => {
                self.lost_since = Some(self.confirmed_at.unwrap_or(self.started_at));
                Some(DiscoveryChange::Lost)
            }
            (false, Some(since)) if self.confirmed_at.is_some() => {
                self.lost_since = None;
                Some(DiscoveryChange::Restored {
                    lost_for: now.saturating_sub(since),
                })
            }
            _ => None,
        }
    }

    /// When the list was last confirmed.
    pub(super) fn confirmed_at(&self, now: Micros) -> Option<Micros> {
        if self.kind == DiscoveryKind::Subscription && self.stream == Stream::Current {
            return Some(now);
        }
        self.confirmed_at
    }

    /// Whether the list has not been confirmed for too long.
    pub(super) fn is_lost(&self, now: Micros) -> bool {
        match self.confirmed_at(now) {
            Some(at) => now > at + LOST_AFTER,
            None => now > self.started_at + START_TIMEOUT,
        }
    }
}
