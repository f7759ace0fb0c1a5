//! Whether the gateway starts, serves, is being emptied or ends, and what that means for those who connect.
//!
//! Every listener and every connection asks here. Being emptied and ending are apart: a call for either may come
//! at any time, in any order and more than once, and only the end is final.

use crate::api::Micros;

/// How long connections are accepted after SIGTERM where nobody else takes them: they keep coming for 0.4 s,
/// requests for 0.2 s more.
pub const LAST_ACCEPT: Micros = 900_000;
/// How much longer those are waited for who were accepted by the machine and have no room yet.
const REST: Micros = 1_000_000;
/// After a call to empty the gateway, idle connections are closed in turn between these two times. New ones come
/// for 0.3 s at most; and a request of a kept connection that comes before the second has its own two seconds.
const EMPTY_FROM: Micros = 300_000;
const EMPTY_BY: Micros = 1_500_000;
/// The same after SIGTERM where another process has taken over: what comes before the second time is answered
/// before the process is killed.
const HAND_FROM: Micros = 50_000;
const HAND_BY: Micros = 600_000;
/// A connection that comes while the gateway is being emptied has this long to send a request.
const LATE: Micros = 500_000;

/// What the gateway does with those who connect.
#[derive(Debug, Default)]
pub struct Lifecycle {
    started: bool,
    /// Since when it is being emptied.
    emptied: Option<Micros>,
    /// Since when it ends, and whether another process takes the connections.
    ending: Option<(Micros, bool)>,
}

impl Lifecycle {
    /// The gateway can serve.
    pub fn start(&mut self) {
        self.started = true;
    }

    /// It is to be emptied. Tells whether that is new.
    pub fn evacuate(&mut self, now: Micros) -> bool {
        let new = self.emptied.is_none();
        self.emptied.get_or_insert(now);
        new
    }

    /// It is to serve again, unless it ends.
    pub fn activate(&mut self) {
        self.emptied = None;
    }

    /// It is to end; `taken_over` if another process takes the connections from now on. Tells whether that is new.
    pub fn end(&mut self, now: Micros, taken_over: bool) -> bool {
        let new = self.ending.is_none();
        self.ending.get_or_insert((now, taken_over));
        new
    }

    /// Whether it has begun to serve.
    pub fn has_started(&self) -> bool {
        self.started
    }

    /// Whether it says that it takes work.
    pub fn is_ready(&self) -> bool {
        self.started && self.emptied.is_none() && self.ending.is_none()
    }

    /// Whether it is being emptied.
    pub fn is_emptied(&self) -> bool {
        self.emptied.is_some()
    }

    /// Whether it has been told to end.
    pub fn is_ending(&self) -> bool {
        self.ending.is_some()
    }

    /// Whether connections are accepted. While it is being emptied they still are: who has not heard of it yet is
    /// answered.
    pub fn accepts(&self, now: Micros) -> bool {
        match self.ending {
            None => self.started,
            Some((since, taken_over)) => self.started && !taken_over && now < since + LAST_ACCEPT,
        }
    }

    /// Whether those who still wait to be accepted are this process's, as nobody else takes them; not for ever.
    pub fn takes_rest(&self, now: Micros) -> bool {
        self.started
            && self
                .ending
                .is_some_and(|(since, taken_over)| !taken_over && now < since + LAST_ACCEPT + REST)
    }

    /// When accepting ends, once that is known.
    pub fn accepts_until(&self) -> Option<Micros> {
        self.ending.map(|(since, taken_over)| {
            if taken_over {
                since
            } else {
                since + LAST_ACCEPT
            }
        })
    }

    /// Whether a connection may stay after its answer.
    pub fn keeps(&self, now: Micros) -> bool {
        self.emptied.is_none()
            && match self.ending {
                None => true,
                Some((since, taken_over)) => !taken_over && now < since + LAST_ACCEPT,
            }
    }

    /// By when an idle connection is closed, if they are now: the one in place `rank` of `all`, the longest idle
    /// first.
    pub fn idle_until(&self, now: Micros, rank: usize, all: usize) -> Option<Micros> {
        let emptied = self.emptied.map(|t| (t + EMPTY_FROM, t + EMPTY_BY));
        let handed = self.ending.filter(|(_, taken_over)| *taken_over);
        let handed = handed.map(|(t, _)| (t + HAND_FROM, t + HAND_BY));
        let span = |(from, by): (Micros, Micros)| {
            from + (by - from) * (rank as Micros + 1) / (all as Micros).max(1)
        };
        let at = emptied.into_iter().chain(handed).map(span).min();
        let over = self
            .ending
            .filter(|(t, taken_over)| !taken_over && now >= t + LAST_ACCEPT)
            .map(|_| now);
        at.into_iter().chain(over).min()
    }

    /// By when a connection just accepted must have sent a request, where it gets less time than usual.
    pub fn first_request_by(&self, now: Micros) -> Option<Micros> {
        (self.emptied.is_some() || self.ending.is_some()).then_some(now + LATE)
    }
}

#[cfg(test)]
mod tests;
