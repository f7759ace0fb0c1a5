//! Turns of clients that send requests faster than they are handled.
//!
//! A client's turn ends after [`MAX_REQUESTS_PER_TURN`] requests or one buffer of input. The rest
//! waits for its next turn, behind all other clients that wait (round robin). Within one pass of
//! the event loop, turns take [`MAX_TURNS_DURATION`] at most, so that events of other connections,
//! deadlines and accepts come in between. A client that sends one request at a time never waits.

use std::collections::VecDeque;

use super::{ConnKey, Gateway};
use crate::api::Micros;

/// Maximum number of requests of one client that are handled in one turn.
pub(super) const MAX_REQUESTS_PER_TURN: usize = 8;
/// Time within one pass of the event loop for the turns of clients that waited.
const MAX_TURNS_DURATION: Micros = 2_000;

/// The clients that wait for their next turn, in order.
#[derive(Debug, Default)]
pub(super) struct ClientTurns {
    waiting: VecDeque<ConnKey>,
}

impl ClientTurns {
    /// Whether no client waits.
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

impl Gateway {
    /// Lets a client with input left wait for its next turn.
    pub(super) fn await_turn(&mut self, key: ConnKey) {
        let Some((connection, _)) = self.connections.get_mut(key) else {
            return;
        };
        if !connection.awaits_turn {
            connection.awaits_turn = true;
            self.turns.waiting.push_back(key);
        }
    }

    /// Gives each client that waits a turn, as far as the time of this pass allows.
    pub(super) fn serve_turns(&mut self) {
        let ends_at = self.clock.now() + MAX_TURNS_DURATION;
        for _ in 0..self.turns.waiting.len() {
            let Some(key) = self.turns.waiting.pop_front() else {
                return;
            };
            if let Some((connection, _)) = self.connections.get_mut(key) {
                connection.awaits_turn = false;
                self.core.counters.client_turns += 1;
                self.on_ready(key);
            }
            if self.count_memory_if_due() || self.clock.now() >= ends_at {
                return;
            }
        }
    }
}
