//! Workers that staff have taken out: the list's word and the operator's of each worker, told as one.
//!
//! Bounds: what is listed, and [`MAX_WORKERS_SEEN`] names that were; bans can only be on those.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use crate::api::{Micros, WorkerEntry, WorkerStatus};

/// Names that are remembered after they have left the list, the oldest forgotten first.
pub const MAX_WORKERS_SEEN: usize = 1024;
/// Bytes that a name may have to be remembered.
pub const MAX_NAME_BYTES: usize = 128;

/// Why a worker cannot be taken out or put back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverrideError {
    /// It was never listed.
    NeverListed,
    /// As many as are remembered are out already.
    TooMany,
}

impl fmt::Display for OverrideError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            OverrideError::NeverListed => "no worker of that name was ever listed",
            OverrideError::TooMany => "too many workers are out",
        })
    }
}

impl std::error::Error for OverrideError {}

/// What the list and the operator say of the workers.
#[derive(Debug, Default)]
pub struct WorkerOverrides {
    /// The list's last word.
    listed: BTreeMap<String, WorkerEntry>,
    /// The operator's last word, and when it was given. One that ended a ban stays for other processes to hear.
    bans: BTreeMap<String, (bool, Micros)>,
    seen: BTreeSet<String>,
    /// The names seen, in the order in which they came.
    order: VecDeque<String>,
}

impl WorkerOverrides {
    /// Takes a notice's lines over; returns what the module is to be told of them.
    pub fn list<'a>(
        &mut self,
        whole: bool,
        lines: impl IntoIterator<Item = (&'a str, WorkerEntry)>,
    ) -> Vec<WorkerEntry> {
        if whole {
            self.listed.clear();
        }
        let mut told = Vec::new();
        for (name, member) in lines {
            self.see(name);
            told.push(self.overlay(name, member.clone()));
            if member.status == WorkerStatus::Removed {
                self.listed.remove(name);
            } else {
                self.listed.insert(name.to_owned(), member);
            }
        }
        told
    }

    /// Remembers a name as listed once.
    pub fn see(&mut self, name: &str) {
        if name.len() > MAX_NAME_BYTES || !self.seen.insert(name.to_owned()) {
            return;
        }
        self.order.push_back(name.to_owned());
        // What is banned or listed is not forgotten, and comes to the end of the row again.
        for _ in 0..self.order.len() {
            if self.order.len() <= MAX_WORKERS_SEEN {
                return;
            }
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            if self.is_banned(&oldest) || self.listed.contains_key(&oldest) {
                self.order.push_back(oldest);
            } else {
                self.seen.remove(&oldest);
                self.bans.remove(&oldest);
            }
        }
    }

    fn overlay(&self, name: &str, mut member: WorkerEntry) -> WorkerEntry {
        if member.status == WorkerStatus::Ready && self.is_banned(name) {
            member.status = WorkerStatus::Draining;
        }
        member
    }

    /// Whether this name was listed at any time that is still remembered.
    pub fn knows(&self, name: &str) -> bool {
        self.seen.contains(name)
    }

    /// Takes a worker out; returns what the module is to be told, if anything changes for it.
    pub fn exclude(
        &mut self,
        name: &str,
        now: Micros,
    ) -> Result<Option<WorkerEntry>, OverrideError> {
        self.call(name, true, now)
    }

    /// Puts a worker back, however often it was taken out.
    pub fn include(
        &mut self,
        name: &str,
        now: Micros,
    ) -> Result<Option<WorkerEntry>, OverrideError> {
        self.call(name, false, now)
    }

    fn call(
        &mut self,
        name: &str,
        ban: bool,
        now: Micros,
    ) -> Result<Option<WorkerEntry>, OverrideError> {
        if !self.knows(name) {
            return Err(OverrideError::NeverListed);
        }
        if ban
            && !self.is_banned(name)
            && self.bans.values().filter(|(b, _)| *b).count() >= MAX_WORKERS_SEEN
        {
            return Err(OverrideError::TooMany);
        }
        // Later than all that was said before, whatever another process's clock shows.
        let at = self.bans.get(name).map_or(now, |(_, at)| now.max(at + 1));
        Ok(self.merge(name, ban, at, now))
    }

    /// Takes over what was said of a worker at a time, here or by another process: the last word counts, of two at
    /// the same time the ban. Any order of merging leads to the same. Returns what the module is to be told.
    pub fn merge(&mut self, name: &str, ban: bool, at: Micros, now: Micros) -> Option<WorkerEntry> {
        self.see(name);
        if !self.knows(name)
            || self
                .bans
                .get(name)
                .is_some_and(|(b, t)| (*t, *b) >= (at, ban))
        {
            return None;
        }
        let before = self.is_banned(name);
        self.bans.insert(name.to_owned(), (ban, at));
        if before == ban {
            return None;
        }
        let member = self.listed.get_mut(name)?;
        if !ban {
            // Meanwhile it was restarted, this instant at the latest: told as started now, it is not pushed over.
            member.started_at = Some(member.started_at.unwrap_or(0).max(now));
        }
        let member = member.clone();
        Some(self.overlay(name, member))
    }

    /// Whether this worker is taken out.
    pub fn is_banned(&self, name: &str) -> bool {
        self.bans.get(name).is_some_and(|(banned, _)| *banned)
    }

    /// The operator's last word on each worker, and when it was given.
    pub fn bans(&self) -> &BTreeMap<String, (bool, Micros)> {
        &self.bans
    }

    /// The names remembered, oldest first.
    pub fn seen(&self) -> impl Iterator<Item = &str> {
        self.order.iter().map(String::as_str)
    }

    /// Workers in the list.
    pub fn listed(&self) -> usize {
        self.listed.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::api::{CellId, WorkerId, ZoneId};
    use proptest::prelude::*;

    fn member(id: u32, status: WorkerStatus) -> WorkerEntry {
        WorkerEntry {
            worker: WorkerId(id),
            zone: ZoneId(0),
            cell: CellId(0),
            status,
            capacity: 1.0,
            started_at: None,
        }
    }

    fn list(
        u: &mut WorkerOverrides,
        whole: bool,
        name: &str,
        status: WorkerStatus,
    ) -> WorkerStatus {
        u.list(whole, [(name, member(1, status))]).remove(0).status
    }

    #[test]
    fn a_ban_outlives_whatever_the_list_says_and_one_call_ends_it() {
        let mut u = WorkerOverrides::default();
        let never = Err(OverrideError::NeverListed);
        assert!(u.exclude("s-1", 5) == never && u.include("s-1", 1) == never);
        assert_eq!(
            list(&mut u, true, "s-1", WorkerStatus::Ready),
            WorkerStatus::Ready
        );
        assert_eq!(
            u.exclude("s-1", 5).unwrap().unwrap().status,
            WorkerStatus::Draining
        );
        assert!(
            u.exclude("s-1", 5).unwrap().is_none(),
            "again is harmless, and nothing new"
        );
        assert_eq!(
            list(&mut u, false, "s-1", WorkerStatus::Ready),
            WorkerStatus::Draining
        );
        assert_eq!(
            list(&mut u, false, "s-1", WorkerStatus::Removed),
            WorkerStatus::Removed
        );
        assert_eq!(
            list(&mut u, true, "s-2", WorkerStatus::Ready),
            WorkerStatus::Ready,
            "a whole new list without it"
        );
        assert_eq!(
            list(&mut u, false, "s-1", WorkerStatus::Ready),
            WorkerStatus::Draining,
            "listed anew"
        );
        let back = u.include("s-1", 77).unwrap().unwrap();
        assert_eq!(
            (back.status, back.started_at),
            (WorkerStatus::Ready, Some(77)),
            "it comes back cold"
        );
        assert!(u.include("s-1", 80).unwrap().is_none());
        assert_eq!(
            list(&mut u, false, "s-1", WorkerStatus::Ready),
            WorkerStatus::Ready
        );
    }

    #[test]
    fn one_that_was_listed_and_is_gone_may_be_banned_and_one_that_drains_stays_so() {
        let mut u = WorkerOverrides::default();
        list(&mut u, true, "s-1", WorkerStatus::Ready);
        list(&mut u, false, "s-1", WorkerStatus::Removed);
        assert!(u.exclude("s-1", 5).unwrap().is_none() && u.is_banned("s-1"));
        list(&mut u, false, "s-2", WorkerStatus::Draining);
        u.exclude("s-2", 5).unwrap();
        assert_eq!(
            u.include("s-2", 9).unwrap().unwrap().status,
            WorkerStatus::Draining
        );
    }

    #[test]
    fn names_are_forgotten_oldest_first_but_never_one_that_is_banned_or_listed() {
        let mut u = WorkerOverrides::default();
        list(&mut u, true, "banned", WorkerStatus::Ready);
        u.exclude("banned", 5).unwrap();
        list(&mut u, false, "banned", WorkerStatus::Removed);
        list(&mut u, false, "listed", WorkerStatus::Ready);
        for n in 0..3 * MAX_WORKERS_SEEN {
            let name = format!("s-{n}");
            list(&mut u, false, &name, WorkerStatus::Ready);
            list(&mut u, false, &name, WorkerStatus::Removed);
        }
        assert!(u.order.len() <= MAX_WORKERS_SEEN && u.seen.len() == u.order.len());
        assert!(u.is_banned("banned") && u.knows("listed") && u.knows("s-3000") && !u.knows("s-1"));
        u.see(&"x".repeat(MAX_NAME_BYTES + 1));
        assert!(!u.knows(&"x".repeat(MAX_NAME_BYTES + 1)));
    }

    proptest! {
        /// Two processes that hear the same words in any order, some twice, hold the same bans.
        #[test]
        fn merging_knows_no_order(
            words in proptest::collection::vec((0..3usize, any::<bool>(), 0..6u64), 0..20),
            turn in any::<prop::sample::Index>(),
        ) {
            let names = ["a", "b", "c"];
            let heard = |words: &[(usize, bool, u64)]| {
                let mut u = WorkerOverrides::default();
                for (n, ban, at) in words {
                    u.merge(names[*n], *ban, *at, 9);
                }
                u.bans().clone()
            };
            let mut other = words.clone();
            if !other.is_empty() {
                let by = turn.index(other.len());
                other.rotate_left(by);
                other.extend_from_within(..by);
            }
            prop_assert_eq!(heard(&words), heard(&other));
        }

        /// Against a plain model: told as ready only if the list says so and no ban holds.
        #[test]
        fn told_is_the_list_and_the_operator_together(
            steps in proptest::collection::vec((0..6u8, 0..4usize), 0..60),
        ) {
            let names = ["a", "b", "c", "d"];
            let mut u = WorkerOverrides::default();
            let (mut ready, mut banned, mut ever) = ([false; 4], [false; 4], [false; 4]);
            let mut told = [false; 4];
            for (what, n) in steps {
                let out = match what {
                    0..=2 => {
                        let status = [WorkerStatus::Ready, WorkerStatus::Draining, WorkerStatus::Removed][what as usize];
                        (ready[n], ever[n]) = (what == 0, true);
                        u.list(false, [(names[n], member(n as u32, status))])
                    }
                    3 => {
                        ready = [false; 4];
                        (ready[n], ever[n]) = (true, true);
                        told = [false; 4];
                        u.list(true, [(names[n], member(n as u32, WorkerStatus::Ready))])
                    }
                    4 => {
                        let got = u.exclude(names[n], 5);
                        prop_assert_eq!(got.is_ok(), ever[n]);
                        banned[n] |= ever[n];
                        got.ok().flatten().into_iter().collect()
                    }
                    _ => {
                        let got = u.include(names[n], 5);
                        prop_assert_eq!(got.is_ok(), ever[n]);
                        banned[n] = false;
                        got.ok().flatten().into_iter().collect()
                    }
                };
                for m in out {
                    told[m.worker.0 as usize] = m.status == WorkerStatus::Ready;
                }
                for n in 0..4 {
                    prop_assert_eq!(told[n], ready[n] && !banned[n]);
                }
            }
        }
    }
}
