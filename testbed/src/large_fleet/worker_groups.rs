//! The workers in groups: all workers of a group are served by one fake, drain together and end
//! together.

use std::io::Result;

use serde_json::{json, Value};

use super::scenario::{NewNames, Scenario};
use crate::outage::{unix_ms, DrainableWorker, ProcessState, Received};

/// Number of groups at the start; a release replaces half of them.
pub const GROUPS: usize = 10;

/// One group of workers with the same state.
#[derive(Debug)]
struct Group {
    fake: DrainableWorker,
    /// Number of the group's first worker.
    first: usize,
    count: usize,
    status: &'static str,
    started_ms: u64,
}

impl Group {
    fn endpoints(&self) -> Vec<Value> {
        (self.first..self.first + self.count)
            .map(|number| {
                // Spreads the numbers over all ids, as real names do.
                let id = (number as u32).wrapping_mul(0x9e37_79b1);
                json!({ "name": format!("s-{id:08x}"), "address": self.fake.address.to_string(),
                        "zone": "north", "type": "std", "group": 0, "status": self.status,
                        "weight": 4, "since_ms": self.started_ms })
            })
            .collect()
    }
}

/// All groups of a run.
#[derive(Debug)]
pub struct WorkerGroups {
    groups: Vec<Group>,
    per_group: usize,
    unanswered_percent: u64,
}

impl WorkerGroups {
    /// Starts the fakes of all groups.
    pub fn start(scenario: &Scenario) -> Result<WorkerGroups> {
        let mut workers = WorkerGroups {
            groups: Vec::new(),
            per_group: scenario.workers.div_ceil(GROUPS),
            unanswered_percent: scenario.unanswered_percent,
        };
        for _ in 0..GROUPS {
            workers.add(0)?;
        }
        Ok(workers)
    }

    fn add(&mut self, started_ms: u64) -> Result<usize> {
        let number = self.groups.len();
        let fake = DrainableWorker::start(format!("group-{number}"))?;
        fake.leave_unanswered(self.unanswered_percent);
        self.groups.push(Group {
            fake,
            first: number * self.per_group,
            count: self.per_group,
            status: "SERVING",
            started_ms,
        });
        Ok(number)
    }

    /// Lets a group drain; returns its changed entries.
    pub fn drain(&mut self, group: usize) -> Vec<Value> {
        self.groups[group].fake.set(ProcessState::Draining);
        self.groups[group].status = "DRAINING";
        self.groups[group].endpoints()
    }

    /// Ends a group's processes; returns its changed entries.
    pub fn end(&mut self, group: usize) -> Vec<Value> {
        self.groups[group].fake.set(ProcessState::Ended);
        self.groups[group].status = "DELETED";
        self.groups[group].endpoints()
    }

    /// Starts the replacement of a group; returns the changed entries.
    pub fn replace(&mut self, group: usize, names: NewNames) -> Result<Vec<Value>> {
        let replacement = match names {
            NewNames::Fresh => self.add(unix_ms())?,
            NewNames::Kept => {
                self.groups[group].fake.set(ProcessState::Serving);
                self.groups[group].status = "SERVING";
                self.groups[group].started_ms = unix_ms();
                group
            }
        };
        Ok(self.groups[replacement].endpoints())
    }

    /// The complete list of the workers that are not gone.
    pub fn list(&self) -> Vec<Value> {
        self.groups
            .iter()
            .filter(|group| group.status != "DELETED")
            .flat_map(Group::endpoints)
            .collect()
    }

    /// The commands that a group received.
    pub fn received(&self, group: usize) -> Vec<Received> {
        self.groups[group].fake.received()
    }

    /// Stops all fakes.
    pub fn stop(&self) {
        for group in &self.groups {
            group.fake.stop();
        }
    }
}
