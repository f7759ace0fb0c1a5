//! The state of one connection to a worker and its exchanges in flight. It works on buffers and does no socket I/O.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

use slotmap::Key;

use super::reply::Reply;
use super::resp::{encode_array, parse_array};
use super::{AttemptCommand, Completed, Exchange, RespError};
use crate::api::{FunctionId, Micros, WorkerId};
use crate::completion::{CloseReason, SendProgress};
use crate::core::{AttemptKey, AttemptReply, HealthCheckKey, LoadOrderKey};
use crate::net::{Buffer, Outbox, UNTAGGED_FRAME};

/// The time within which a duplicate of a worker's reply may be received.
pub(super) const DUPLICATE_REPLY_WINDOW: Micros = 250_000;

/// An exchange in flight.
#[derive(Clone, Copy, Debug)]
struct OpenExchange {
    exchange: Exchange,
    /// The tag of its frame.
    tag: u64,
    /// Whether the call must run at most once.
    run_at_most_once: bool,
}

/// An exchange to be queued.
struct Outgoing {
    identity: Rc<str>,
    exchange: Exchange,
    run_at_most_once: bool,
    bytes: Vec<u8>,
}

/// The exchanges in flight on one connection to a worker.
#[derive(Debug)]
pub struct WorkerConnection {
    /// The worker.
    pub worker: WorkerId,
    /// The time at which the connection was opened.
    pub opened_at: Micros,
    /// The time at which the last complete reply was received.
    pub last_received_at: Micros,
    /// The time at which an exchange last began with no other in flight.
    pub last_active_at: Micros,
    /// The time since which an incomplete reply has been buffered.
    pub partial_reply_since: Option<Micros>,
    /// Whether no new exchanges are sent on the connection, as it was silent for too long or its worker is draining or
    /// removed.
    pub retired: bool,
    open: BTreeMap<Rc<str>, OpenExchange>,
    /// Identities of cancelled exchanges that may still be answered, with the end of that period.
    cancelled: VecDeque<(Rc<str>, Micros)>,
    /// Identities of calls that must run at most once and were rejected, with the end of the period in which a duplicate
    /// of the rejection may be received.
    rejected: VecDeque<(Rc<str>, Micros)>,
    next_tag: u64,
}

impl WorkerConnection {
    /// Creates the state of a newly opened connection to a worker.
    pub fn new(worker: WorkerId, now: Micros) -> WorkerConnection {
        WorkerConnection {
            worker,
            opened_at: now,
            last_received_at: now,
            last_active_at: now,
            partial_reply_since: None,
            retired: false,
            open: BTreeMap::new(),
            cancelled: VecDeque::new(),
            rejected: VecDeque::new(),
            next_tag: UNTAGGED_FRAME + 1,
        }
    }

    /// Returns the number of exchanges in flight.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Returns whether an attempt with this identity may be sent on this connection. A retry must use another connection
    /// than its cancelled predecessor, whose reply may still arrive with the same identity on this connection.
    pub fn accepts(&self, identity: &str, max_open: usize) -> bool {
        !self.retired
            && self.open.len() < max_open
            && !self.open.contains_key(identity)
            && !self.cancelled.iter().any(|(other, _)| &**other == identity)
    }

    /// Returns whether a rejection may be a duplicate of the one that an earlier attempt with this
    /// identity received, and removes the record of that rejection, so that each record matches
    /// once. For a call that must run at most once, a duplicate taken for the reply to the next
    /// attempt would wrongly show that the next attempt never ran. If the rejection is not a
    /// duplicate but the reply to the next attempt, the call ends at its deadline.
    fn is_duplicate_rejection(&mut self, now: Micros, identity: &[u8]) -> bool {
        let index = self
            .rejected
            .iter()
            .position(|(other, until)| other.as_bytes() == identity && now < *until);
        index
            .and_then(|index| self.rejected.remove(index))
            .is_some()
    }

    fn enqueue(&mut self, outbox: &mut Outbox, outgoing: Outgoing) {
        let tag = self.next_tag;
        self.next_tag += 1;
        let open = OpenExchange {
            exchange: outgoing.exchange,
            tag,
            run_at_most_once: outgoing.run_at_most_once,
        };
        self.open.insert(outgoing.identity, open);
        match outgoing.exchange {
            Exchange::Attempt(_) => outbox.push_counted(tag, outgoing.bytes),
            Exchange::LoadOrder(_) | Exchange::HealthCheck(_) => outbox.push(tag, outgoing.bytes),
        }
    }

    /// Queues an attempt.
    pub fn send_attempt(&mut self, outbox: &mut Outbox, command: AttemptCommand<'_>) {
        let class = command.class;
        let function = command.function.0;
        let wait_ms = command.wait_ms.max(1);
        let mut fields = format!("profile={class},thing={function:016x},max={wait_ms}");
        if let Some(key) = command.idempotency_key {
            fields.push_str(",replay=");
            fields.push_str(key.as_str());
        }
        let bytes = encode_array(&[
            b"go",
            command.identity.as_bytes(),
            fields.as_bytes(),
            command.body,
        ]);
        let outgoing = Outgoing {
            identity: command.identity,
            exchange: Exchange::Attempt(command.attempt),
            run_at_most_once: command.run_at_most_once,
            bytes,
        };
        self.enqueue(outbox, outgoing);
    }

    /// Queues a load order.
    pub fn send_load(
        &mut self,
        outbox: &mut Outbox,
        order: LoadOrderKey,
        function: FunctionId,
        copies: u8,
    ) {
        let identity: Rc<str> = format!("o{:x}", order.data().as_ffi()).into();
        let fields = format!("thing={:016x},copies={copies}", function.0);
        let bytes = encode_array(&[b"stage", identity.as_bytes(), fields.as_bytes()]);
        let outgoing = Outgoing {
            identity,
            exchange: Exchange::LoadOrder(order),
            run_at_most_once: false,
            bytes,
        };
        self.enqueue(outbox, outgoing);
    }

    /// Queues a health check; its reply carries a load report.
    pub fn send_health_check(&mut self, outbox: &mut Outbox, check: HealthCheckKey) {
        let identity: Rc<str> = format!("p{:x}", check.data().as_ffi()).into();
        let bytes = encode_array(&[b"stat", identity.as_bytes()]);
        let outgoing = Outgoing {
            identity,
            exchange: Exchange::HealthCheck(check),
            run_at_most_once: false,
            bytes,
        };
        self.enqueue(outbox, outgoing);
    }

    /// Queues a command to unload a function's idle copies; it has no reply.
    pub fn send_unload(&mut self, outbox: &mut Outbox, function: FunctionId) {
        let function = format!("{:016x}", function.0);
        let bytes = encode_array(&[b"purge", function.as_bytes()]);
        outbox.push(UNTAGGED_FRAME, bytes);
    }

    /// Cancels an exchange: removes it from the outbox if it is unsent, and otherwise tells the worker to stop an attempt.
    /// In the latter case its identity is not accepted on this connection again until its reply is received; the first
    /// such cancellation after `until` also frees it.
    pub fn cancel(
        &mut self,
        outbox: &mut Outbox,
        exchange: Exchange,
        now: Micros,
        until: Micros,
    ) -> SendProgress {
        let Some((identity, tag)) = self.find(exchange) else {
            return SendProgress::Started;
        };
        self.open.remove(&identity);
        if outbox.withdraw(tag) {
            return SendProgress::Unsent;
        }
        if let Exchange::Attempt(_) = exchange {
            let bytes = encode_array(&[b"halt", identity.as_bytes()]);
            outbox.push(UNTAGGED_FRAME, bytes);
        }
        while self
            .cancelled
            .front()
            .is_some_and(|(_, until)| *until < now)
        {
            self.cancelled.pop_front();
        }
        self.cancelled.push_back((identity, until));
        SendProgress::Started
    }

    /// Returns the identity of an exchange in flight and the tag of its frame.
    fn find(&self, exchange: Exchange) -> Option<(Rc<str>, u64)> {
        self.open
            .iter()
            .find(|(_, open)| open.exchange == exchange)
            .map(|(identity, open)| (identity.clone(), open.tag))
    }

    /// Returns the attempts of which no byte has been sent.
    pub fn unsent_attempts(&self, outbox: &Outbox) -> Vec<AttemptKey> {
        let tags: BTreeSet<u64> = outbox.unsent_counted_tags().collect();
        if tags.is_empty() {
            return Vec::new();
        }
        let unsent = self.open.values().filter(|open| tags.contains(&open.tag));
        unsent
            .filter_map(|open| match open.exchange {
                Exchange::Attempt(key) => Some(key),
                Exchange::LoadOrder(_) | Exchange::HealthCheck(_) => None,
            })
            .collect()
    }

    /// Withdraws an exchange if none of its bytes have been sent; returns whether it was withdrawn.
    pub fn withdraw(&mut self, outbox: &mut Outbox, exchange: Exchange) -> bool {
        let Some((identity, tag)) = self.find(exchange) else {
            return false;
        };
        let unsent = outbox.withdraw(tag);
        if unsent {
            self.open.remove(&identity);
        }
        unsent
    }

    /// Withdraws every exchange of which no byte has been sent, so that the rules on draining workers, load limits and
    /// slow start also apply to queued exchanges.
    pub fn withdraw_unsent(&mut self, outbox: &mut Outbox, done: &mut Vec<Completed>) {
        self.withdraw_unsent_if(outbox, done, |_| true);
    }

    /// Withdraws every attempt and load order of which no byte has been sent; health checks stay queued.
    pub fn withdraw_unsent_work(&mut self, outbox: &mut Outbox, done: &mut Vec<Completed>) {
        self.withdraw_unsent_if(outbox, done, |exchange| {
            !matches!(exchange, Exchange::HealthCheck(_))
        });
    }

    fn withdraw_unsent_if(
        &mut self,
        outbox: &mut Outbox,
        done: &mut Vec<Completed>,
        should_withdraw: impl Fn(Exchange) -> bool,
    ) {
        self.open.retain(|_, open| {
            let unsent = should_withdraw(open.exchange) && outbox.withdraw(open.tag);
            if unsent {
                done.push(Completed::without_reply(
                    open.exchange,
                    CloseReason::Withdrawn,
                    SendProgress::Unsent,
                ));
            }
            !unsent
        });
    }

    /// Completes every exchange in flight after the end of the connection.
    pub fn complete_all(
        &mut self,
        outbox: &Outbox,
        reason: CloseReason,
        done: &mut Vec<Completed>,
    ) {
        for open in std::mem::take(&mut self.open).into_values() {
            let progress = if outbox.is_unsent(open.tag) {
                SendProgress::Unsent
            } else {
                SendProgress::Started
            };
            done.push(Completed::without_reply(open.exchange, reason, progress));
        }
    }

    /// Handles all complete replies in `input`, which arrived at `arrived_at`; returns the number of those that matched no exchange in flight.
    ///
    /// # Errors
    ///
    /// [`RespError`] if the input is malformed; the connection must then be closed.
    pub fn read_replies(
        &mut self,
        now: Micros,
        arrived_at: Micros,
        input: &mut Buffer,
        done: &mut Vec<Completed>,
    ) -> Result<u64, RespError> {
        let mut unmatched = 0;
        while let Some(array) = parse_array(input.bytes())? {
            self.last_received_at = now;
            self.partial_reply_since = None;
            let reply = Reply::from_strings(&array.strings)?;
            if !self.handle_reply(now, arrived_at, &reply, done)? {
                unmatched += 1;
            }
            input.consume(array.size_bytes);
        }
        if !input.bytes().is_empty() {
            self.partial_reply_since.get_or_insert(now);
        }
        Ok(unmatched)
    }

    /// Handles one reply; returns whether it matched an exchange in flight.
    fn handle_reply(
        &mut self,
        now: Micros,
        arrived_at: Micros,
        reply: &Reply<'_>,
        done: &mut Vec<Completed>,
    ) -> Result<bool, RespError> {
        let open = std::str::from_utf8(reply.identity)
            .ok()
            .and_then(|identity| self.open.get(identity))
            .copied();
        let Some(open) = open else {
            self.cancelled
                .retain(|(identity, _)| identity.as_bytes() != reply.identity);
            return Ok(false);
        };
        let reason = reply.close_reason(open.exchange)?;
        let rejected = matches!(
            reason,
            CloseReason::NotLoaded | CloseReason::AtCapacity | CloseReason::Expired
        );
        let may_be_duplicated = open.run_at_most_once && rejected;
        if may_be_duplicated && self.is_duplicate_rejection(now, reply.identity) {
            return Ok(false);
        }
        let fields = reply.read_fields();
        done.push(Completed {
            exchange: open.exchange,
            reason,
            reply_arrived_at: Some(arrived_at),
            progress: SendProgress::Started,
            reply: AttemptReply {
                body: reply.body.to_vec(),
                copy_start: fields.copy_start,
                function_in_flight: fields.function_in_flight,
                load_report: fields.load_report,
            },
            copies: fields.copies,
        });
        let identity = self.remove_open(reply.identity);
        if let Some(identity) = identity.filter(|_| may_be_duplicated) {
            self.rejected
                .push_back((identity, now + DUPLICATE_REPLY_WINDOW));
        }
        while self
            .rejected
            .front()
            .is_some_and(|(_, until)| *until <= now)
        {
            self.rejected.pop_front();
        }
        Ok(true)
    }

    fn remove_open(&mut self, identity: &[u8]) -> Option<Rc<str>> {
        let identity = std::str::from_utf8(identity).ok()?;
        self.open.remove_entry(identity).map(|(key, _)| key)
    }
}
