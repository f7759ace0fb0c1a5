//! The platform's clients: requests, answers, and idle connections.

use super::client_turns::MAX_REQUESTS_PER_TURN;
use super::connections::read_dated;
use super::{ConnKey, Gateway, Origin, PendingResponse, Role};
use crate::api::Micros;
use crate::completion::CloseReason;
use crate::core::{Answer, Call};
use crate::front::http::{self, READ_LIMIT};
use crate::front::platform::{self, ClientRequest};
use crate::net::{ArrivalDating, UNTAGGED_FRAME};

/// A client's connection without a pending request is closed after this time. The platform's
/// clients close theirs after 4 s, except for those that send one request and stay connected.
pub(super) const CLIENT_IDLE_TIMEOUT: Micros = 4_500_000;
/// Time for a client to send a complete request, from its connect or from the request's first byte.
pub(super) const CLIENT_REQUEST_TIMEOUT: Micros = 2_000_000;
/// Time for the rest of a partial request on an idle connection that would otherwise be closed.
const PARTIAL_REQUEST_TIMEOUT: Micros = 200_000;
/// How long a connection with a rejected request stays open for its peer's remaining input.
pub(super) const LINGER_TIMEOUT: Micros = 1_000_000;
/// `Retry-After` of a call that is rejected because too many calls are pending.
const OVERLOAD_RETRY_AFTER: Micros = 1_000_000;

/// Whether to continue reading a client's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadProgress {
    Continue,
    Stop,
}

/// Whether a client's connection stays open after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AfterResponse {
    KeepOpen,
    Close,
}

impl AfterResponse {
    fn keep_open_if(keep_open: bool) -> AfterResponse {
        if keep_open {
            AfterResponse::KeepOpen
        } else {
            AfterResponse::Close
        }
    }

    fn keeps_open(self) -> bool {
        self == AfterResponse::KeepOpen
    }
}

impl Gateway {
    /// Handles the requests received on a client's connection, up to one that waits for its answer
    /// or to the end of the client's turn.
    pub(super) fn read_client_requests(&mut self, key: ConnKey, now: Micros) {
        for _ in 0..MAX_REQUESTS_PER_TURN {
            if self.read_client_request(key, now) == ReadProgress::Stop {
                return;
            }
        }
        self.await_turn(key);
    }

    fn read_client_request(&mut self, key: ConnKey, now: Micros) -> ReadProgress {
        let Some((connection, Role::Client { pending, .. })) = self.connections.get_mut(key) else {
            return ReadProgress::Stop;
        };
        if pending.is_some() || connection.closing || connection.pause_if_backlogged() {
            return ReadProgress::Stop;
        }
        let arrived_at = connection.input_arrived_at.min(now);
        let parsed = platform::parse_request(
            connection.input.bytes(),
            &self.config.names,
            platform::ReadTime { now, arrived_at },
        );
        let taken = match parsed {
            Ok(Some(taken)) => taken,
            Ok(None) => return self.await_rest_of_request(key, now),
            Err(bad) => {
                self.core.counters.bad_requests += 1;
                let response = platform::encode_error(&bad, false);
                connection.outbox.push(UNTAGGED_FRAME, response);
                connection.closing = true;
                connection.linger = true;
                self.dirty.push(key);
                self.set_deadline(key, Some(now + LINGER_TIMEOUT));
                return ReadProgress::Stop;
            }
        };
        connection.input.consume(taken.size);
        connection.idle_since = now;
        // The request is complete: the time for the next request starts again.
        self.set_deadline(key, Some(now + CLIENT_IDLE_TIMEOUT));
        let keep_open = taken.keep_alive && self.ops.lifecycle.keeps_alive(now);
        if let Some((_, Role::Client { keep_alive, .. })) = self.connections.get_mut(key) {
            *keep_alive = keep_open;
        }
        self.handle_client_request(
            key,
            now,
            taken.request,
            AfterResponse::keep_open_if(keep_open),
        )
    }

    /// Waits for the rest of a partial request.
    fn await_rest_of_request(&mut self, key: ConnKey, now: Micros) -> ReadProgress {
        let Some((connection, Role::Client { is_far_ahead, .. })) = self.connections.get_mut(key)
        else {
            return ReadProgress::Stop;
        };
        // If the buffer was full, the input left in the socket raises no further event.
        if connection.has_more_input {
            self.await_turn(key);
            return ReadProgress::Stop;
        }
        if connection.input.bytes().is_empty() {
            *is_far_ahead = false;
        }
        // The time for a partial request counts from its first byte.
        let request_deadline = now + CLIENT_REQUEST_TIMEOUT;
        let later = connection
            .deadline
            .is_none_or(|deadline| deadline > request_deadline);
        if !connection.input.bytes().is_empty() && later {
            self.set_deadline(key, Some(request_deadline));
        }
        ReadProgress::Stop
    }

    fn handle_client_request(
        &mut self,
        key: ConnKey,
        now: Micros,
        request: Result<ClientRequest, http::RequestError>,
        after: AfterResponse,
    ) -> ReadProgress {
        let keep_open = after.keeps_open();
        let response = match request {
            Ok(ClientRequest::Call(call)) => {
                match self.reject_client_call(key, now, &call, after) {
                    Some(response) => response,
                    None => {
                        self.submit_client_call(key, now, call);
                        return ReadProgress::Stop;
                    }
                }
            }
            Ok(ClientRequest::Ping) => {
                let draining = self.ops.lifecycle.is_draining();
                let status = if draining || !self.core.knows_workers(now) {
                    503
                } else {
                    200
                };
                http::response(status, "", b"", keep_open)
            }
            Err(bad) => {
                self.core.counters.bad_requests += 1;
                platform::encode_error(&bad, keep_open)
            }
        };
        self.respond_to_client(key, response, after);
        ReadProgress::Continue
    }

    /// Returns the response to a call that is rejected before the decision module sees it; `None`
    /// if the call is to be submitted.
    fn reject_client_call(
        &mut self,
        key: ConnKey,
        now: Micros,
        call: &Call<()>,
        after: AfterResponse,
    ) -> Option<Vec<u8>> {
        // The platform does the same beyond `mostHeld`.
        let is_full = self.core.pending_requests() >= self.config.max_pending_requests;
        let lacks_memory = self.lacks_memory_for(call);
        self.core.counters.rejected_for_memory += u64::from(lacks_memory);
        let is_far_ahead = self.is_far_ahead(key);
        self.core.counters.rejected_far_ahead += u64::from(is_far_ahead);
        if is_full || lacks_memory || is_far_ahead {
            tracing::debug!(
                identity = %call.identity,
                is_full,
                lacks_memory,
                is_far_ahead,
                "call rejected on arrival"
            );
            self.core.count_rejected(call.arrival.class);
            let answer = Answer::Rejected {
                retry_after: OVERLOAD_RETRY_AFTER,
            };
            return Some(platform::answer(&answer, after.keeps_open()));
        }
        if self.core.is_open(&call.identity) {
            self.core.counters.bad_requests += 1;
            let bad = http::request_error(409, "X-Correlation-Id of an open request");
            return Some(platform::encode_error(&bad, after.keeps_open()));
        }
        let bad = self.claim_identity(now, call)?;
        self.core.counters.bad_requests += 1;
        Some(platform::encode_error(&bad, after.keeps_open()))
    }

    /// Whether a client has sent so much ahead that its departure could go unnoticed.
    fn is_far_ahead(&self, key: ConnKey) -> bool {
        let role = self.connections.get(key).map(|(_, role)| role);
        matches!(
            role,
            Some(Role::Client {
                is_far_ahead: true,
                ..
            })
        )
    }

    fn submit_client_call(&mut self, key: ConnKey, now: Micros, call: Call<()>) {
        self.set_deadline(key, None);
        if call.arrival.unread_for > 0 {
            self.timer.record_unread(call.arrival.unread_for);
        }
        let call = call.with_origin(Origin::Client(key));
        let request = self.core.submit(now, call);
        if let Some((_, Role::Client { pending, .. })) = self.connections.get_mut(key) {
            *pending = Some(PendingResponse::Call(request));
        }
    }

    fn respond_to_client(&mut self, key: ConnKey, response: Vec<u8>, after: AfterResponse) {
        let Some((connection, _)) = self.connections.get_mut(key) else {
            return;
        };
        connection.outbox.push(UNTAGGED_FRAME, response);
        connection.closing = !after.keeps_open();
        self.dirty.push(key);
    }

    /// Writes the answer to a client's call.
    pub(super) fn answer_client(&mut self, key: ConnKey, answer: &Answer) {
        let now = self.clock.now();
        let may_keep_open = self.ops.lifecycle.keeps_alive(now);
        let Some((connection, role)) = self.connections.get_mut(key) else {
            return;
        };
        let Role::Client {
            pending,
            keep_alive,
            ..
        } = role
        else {
            return;
        };
        *pending = None;
        connection.idle_since = now;
        let after = AfterResponse::keep_open_if(*keep_alive && may_keep_open);
        let response = platform::answer(answer, after.keeps_open());
        self.set_deadline(key, Some(now + CLIENT_IDLE_TIMEOUT));
        self.respond_to_client(key, response, after);
        self.continue_after_answer(key);
    }

    /// Closes a client's connection after a read that showed its departure, or that stopped before
    /// the end of an input behind which the client has departed; returns whether it was closed.
    /// Nobody waits for the answers to what is left unhandled.
    pub(super) fn close_if_client_departed(
        &mut self,
        key: ConnKey,
        read: Result<(), CloseReason>,
    ) -> bool {
        let Some((connection, role)) = self.connections.get_mut(key) else {
            return true;
        };
        let Role::Client {
            pending,
            is_far_ahead,
            ..
        } = role
        else {
            return false;
        };
        *is_far_ahead |= connection.has_more_input && pending.is_some();
        let departed = read.is_err()
            || connection.peer_closed
            || connection.has_more_input && connection.has_peer_departed();
        if departed {
            self.close_departed(key, read.err().unwrap_or(CloseReason::Closed));
        }
        departed
    }

    /// Lets a client whose request was answered have a turn if it has sent its next request
    /// already. Closes the connection if the client has departed meanwhile.
    pub(super) fn continue_after_answer(&mut self, key: ConnKey) {
        let Some((connection, _)) = self.connections.get(key) else {
            return;
        };
        if !connection.has_input() {
            return;
        }
        if connection.has_peer_departed() {
            self.close_departed(key, CloseReason::Closed);
        } else {
            self.await_turn(key);
        }
    }

    /// Closes the connection of a client that has departed.
    pub(super) fn close_departed(&mut self, key: ConnKey, reason: CloseReason) {
        let Some((connection, Role::Client { pending, .. })) = self.connections.get(key) else {
            return;
        };
        let has_input = connection.has_input();
        self.core.counters.departures_behind_input += u64::from(has_input);
        tracing::debug!(
            reason = reason.name(),
            pending = ?pending,
            has_input,
            unsent = connection.outbox.len(),
            "client departed"
        );
        self.close(key, reason);
    }

    /// Schedules the closing of idle connections, the longest idle first.
    pub(super) fn schedule_idle_closes(&mut self, now: Micros) {
        let mut idle: Vec<(Micros, ConnKey)> = Vec::new();
        let closing = self.ops.lifecycle.idle_close_deadline(now, 0, 1).is_some();
        for (key, (connection, role)) in self.connections.iter_mut() {
            match role {
                // A partial request has its own deadline, and its answer closes the connection.
                Role::Client { pending: None, .. }
                    if !connection.input.bytes().is_empty() && !connection.closing => {}
                Role::Client { pending: None, .. } if connection.outbox.is_empty() => {
                    idle.push((connection.idle_since, key))
                }
                Role::Client { pending: None, .. } => connection.closing |= closing,
                _ => {}
            }
        }
        idle.sort();
        let count = idle.len();
        for (rank, (idle_since, key)) in idle.into_iter().enumerate() {
            let close_at = self.ops.lifecycle.idle_close_deadline(now, rank, count);
            self.set_deadline(
                key,
                Some(close_at.unwrap_or(idle_since.max(now) + CLIENT_IDLE_TIMEOUT)),
            );
        }
    }

    /// Closes a client's connection whose idle time or request time has run out.
    pub(super) fn close_idle_client(&mut self, key: ConnKey, now: Micros) {
        if self.read_before_close(key, now) {
            return;
        }
        let Some((connection, _)) = self.connections.get_mut(key) else {
            return;
        };
        if !connection.input.bytes().is_empty() && connection.outbox.is_empty() {
            connection.outbox.push(
                UNTAGGED_FRAME,
                platform::encode_error(&platform::request_timeout(), false),
            );
            // The connection is closed even if the response cannot be written.
            let _ = connection.flush();
        }
        self.close(key, CloseReason::Idle);
    }

    /// Reads once more from an idle connection that is about to be closed, as a request may have
    /// arrived by now. Returns whether the connection stays open for the request.
    fn read_before_close(&mut self, key: ConnKey, now: Micros) -> bool {
        let Some((connection, _)) = self.connections.get_mut(key) else {
            return false;
        };
        // A partial request whose time has run out gets no more time.
        if connection.closing || !connection.input.bytes().is_empty() {
            return false;
        }
        let date = ArrivalDating::of_input;
        let read = read_dated(connection, READ_LIMIT, now, &self.arrivals, date);
        if read.is_err() || connection.input.bytes().is_empty() {
            return false;
        }
        self.on_input(key, now);
        let Some((connection, Role::Client { pending, .. })) = self.connections.get_mut(key) else {
            return true;
        };
        if pending.is_none() && !connection.closing && !connection.input.bytes().is_empty() {
            // The rest of the partial request may arrive soon.
            self.set_deadline(key, Some(now + PARTIAL_REQUEST_TIMEOUT));
        }
        true
    }
}
