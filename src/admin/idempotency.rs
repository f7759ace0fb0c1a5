//! `Idempotency-Key`: a POST that is repeated with the same key gets the first response again.

use std::collections::{HashMap, VecDeque};

use crate::api::Micros;

/// Maximum number of keys.
const MAX_KEYS: usize = 1024;
/// Lifetime of a key, in microseconds.
const KEY_LIFETIME: Micros = 86_400_000_000;
/// Maximum length of a key, in bytes.
const MAX_KEY_BYTES: usize = 128;

/// The state of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// The request is the first with this key.
    New,
    /// The first request's response.
    Answered(Vec<u8>),
    /// The first request is still pending, or it had other content.
    Conflict,
}

#[derive(Debug)]
struct Entry {
    request: Vec<u8>,
    answer: Option<Vec<u8>>,
}

/// The keys of the last day, at most 1024, in memory only.
#[derive(Debug, Default)]
pub struct Keys {
    entries: HashMap<(String, String), Entry>,
    order: VecDeque<(Micros, (String, String))>,
}

impl Keys {
    /// Returns true if a key has a valid length.
    pub fn usable(key: &str) -> bool {
        !key.is_empty() && key.len() <= MAX_KEY_BYTES
    }

    /// Records a request's key and returns the key's state before.
    pub fn begin(&mut self, who: &str, key: &str, request: &[u8], now: Micros) -> KeyState {
        while self
            .order
            .front()
            .is_some_and(|(t, _)| t + KEY_LIFETIME < now)
            || self.order.len() >= MAX_KEYS
        {
            if let Some((_, old)) = self.order.pop_front() {
                self.entries.remove(&old);
            }
        }
        let name = (who.to_owned(), key.to_owned());
        match self.entries.get(&name) {
            Some(e) if e.request != request => KeyState::Conflict,
            Some(e) => e
                .answer
                .clone()
                .map_or(KeyState::Conflict, KeyState::Answered),
            None => {
                self.entries.insert(
                    name.clone(),
                    Entry {
                        request: request.to_vec(),
                        answer: None,
                    },
                );
                self.order.push_back((now, name));
                KeyState::New
            }
        }
    }

    /// Stores a request's response. `None` removes the key after a failure at this gateway, so that
    /// the request can be retried.
    pub fn end(&mut self, who: &str, key: &str, answer: Option<&[u8]>) {
        let name = (who.to_owned(), key.to_owned());
        match (answer, self.entries.get_mut(&name)) {
            (Some(answer), Some(e)) => e.answer = Some(answer.to_vec()),
            (None, Some(_)) => {
                self.entries.remove(&name);
                self.order.retain(|(_, n)| *n != name);
            }
            (_, None) => {}
        }
    }
}

#[cfg(test)]
mod tests;
