//! `Idempotency-Key`: the answer to a POST is given again to whoever repeats it with the same key.

use std::collections::{HashMap, VecDeque};

use crate::api::Micros;

/// Answers kept, and for how long.
const MOST: usize = 1024;
const KEPT: Micros = 86_400_000_000;
/// The longest key.
const LONGEST: usize = 128;

/// What a key says of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Known {
    /// It is the first with this key.
    New,
    /// It was answered so.
    Answered(Vec<u8>),
    /// Its first is still under way, or the key came with another request before.
    Conflict,
}

#[derive(Debug)]
struct Entry {
    request: Vec<u8>,
    answer: Option<Vec<u8>>,
}

/// The keys of the last day, at most 1024. They last as long as the process.
#[derive(Debug, Default)]
pub struct Keys {
    entries: HashMap<(String, String), Entry>,
    order: VecDeque<(Micros, (String, String))>,
}

impl Keys {
    /// Whether a key can be used.
    pub fn usable(key: &str) -> bool {
        !key.is_empty() && key.len() <= LONGEST
    }

    /// Takes a request's key in.
    pub fn begin(&mut self, who: &str, key: &str, request: &[u8], now: Micros) -> Known {
        while self.order.front().is_some_and(|(t, _)| t + KEPT < now) || self.order.len() >= MOST {
            if let Some((_, old)) = self.order.pop_front() {
                self.entries.remove(&old);
            }
        }
        let name = (who.to_owned(), key.to_owned());
        match self.entries.get(&name) {
            Some(e) if e.request != request => Known::Conflict,
            Some(e) => e.answer.clone().map_or(Known::Conflict, Known::Answered),
            None => {
                self.entries.insert(
                    name.clone(),
                    Entry {
                        request: request.to_vec(),
                        answer: None,
                    },
                );
                self.order.push_back((now, name));
                Known::New
            }
        }
    }

    /// Keeps a request's answer; one that failed on this side is not kept, so that it can be tried again.
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
