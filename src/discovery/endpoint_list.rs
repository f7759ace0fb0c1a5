//! The list of known workers, built from updates.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::WatchEvent;
use crate::api::{WorkerEntry, WorkerId, WorkerStatus};

/// The length of a name suffix that is the worker's id in hexadecimal.
const HEX_ID_LENGTH: usize = 8;
/// The offset basis of the 32-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u32 = 0x811c_9dc5;
/// The prime of the 32-bit FNV-1a hash.
const FNV_PRIME: u32 = 0x0100_0193;

/// The list of known workers. Worker ids are derived from the names alone, so that all gateways order the workers by id
/// in the same way.
#[derive(Debug, Default)]
pub struct EndpointList {
    ids: BTreeMap<String, WorkerId>,
    names: BTreeMap<WorkerId, String>,
    /// The address of each worker.
    pub addresses: BTreeMap<WorkerId, SocketAddr>,
    /// The workers at each address, in the order of the ids.
    by_address: BTreeMap<SocketAddr, BTreeSet<WorkerId>>,
    /// Removed workers, which are deleted once they are no longer in use.
    removed: BTreeSet<WorkerId>,
    /// Workers that must get no new work because of their listed status or an operator's command.
    draining: BTreeSet<WorkerId>,
}

/// The changes that an update made.
#[derive(Debug)]
pub struct AppliedUpdate {
    /// The workers of the update in its order, as the decision module receives them.
    pub workers: Vec<WorkerEntry>,
    /// The workers whose address changed.
    pub address_changes: Vec<WorkerId>,
}

impl EndpointList {
    /// Returns a worker's id; assigns one to a new worker.
    pub fn id_of(&mut self, name: &str) -> WorkerId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let mut id = preferred_id(name);
        while self.names.contains_key(&id) {
            id.0 = id.0.wrapping_add(1);
        }
        self.ids.insert(name.to_owned(), id);
        self.names.insert(id, name.to_owned());
        id
    }

    /// Returns the name of a worker, or its id in hexadecimal if the worker is unknown.
    pub fn name_of(&self, worker: WorkerId) -> String {
        self.names
            .get(&worker)
            .cloned()
            .unwrap_or_else(|| format!("{:08x}", worker.0))
    }

    /// Returns the id of a known worker.
    pub fn find(&self, name: &str) -> Option<WorkerId> {
        self.ids.get(name).copied()
    }

    /// Applies an update.
    pub fn apply(&mut self, update: &WatchEvent) -> AppliedUpdate {
        let mut applied = AppliedUpdate {
            workers: Vec::with_capacity(update.endpoints.len()),
            address_changes: Vec::new(),
        };
        if update.snapshot {
            self.removed.extend(self.addresses.keys());
        }
        for endpoint in &update.endpoints {
            let worker = self.id_of(&endpoint.name);
            let former = self.addresses.insert(worker, endpoint.address);
            if former != Some(endpoint.address) {
                let at_address = self.by_address.entry(endpoint.address).or_default();
                at_address.insert(worker);
            }
            if let Some(former) = former.filter(|former| *former != endpoint.address) {
                self.leave_address(worker, former);
                applied.address_changes.push(worker);
            }
            if endpoint.status == WorkerStatus::Removed {
                self.removed.insert(worker);
            } else {
                self.removed.remove(&worker);
            }
            applied.workers.push(WorkerEntry {
                worker,
                zone: endpoint.zone,
                cell: endpoint.cell,
                status: endpoint.status,
                capacity: endpoint.capacity,
                started_at: endpoint.started_at,
            });
        }
        applied
    }

    /// Returns the names of the workers whose addresses an update gives to other ready workers that
    /// were not there before. Only one process listens at an address, so theirs have ended, whether the
    /// update says so or not.
    pub fn superseded_by(&self, update: &WatchEvent) -> BTreeSet<String> {
        let mut superseded = BTreeSet::new();
        for endpoint in &update.endpoints {
            let Some(at_address) = self.by_address.get(&endpoint.address) else {
                continue;
            };
            let own = self.ids.get(&endpoint.name);
            let was_there = own.is_some_and(|own| at_address.contains(own));
            if was_there || endpoint.status != WorkerStatus::Ready {
                continue;
            }
            let others = at_address.difference(&self.removed);
            superseded.extend(others.filter_map(|other| self.names.get(other).cloned()));
        }
        for endpoint in &update.endpoints {
            superseded.remove(&endpoint.name);
        }
        superseded
    }

    fn leave_address(&mut self, worker: WorkerId, address: SocketAddr) {
        let Some(at_address) = self.by_address.get_mut(&address) else {
            return;
        };
        at_address.remove(&worker);
        if at_address.is_empty() {
            self.by_address.remove(&address);
        }
    }

    /// Deletes the removed workers that are not in use, which bounds memory when workers are continually replaced.
    pub fn forget_removed(&mut self, in_use: impl Fn(&WorkerId) -> bool) {
        let removed = std::mem::take(&mut self.removed);
        let (in_use, unused): (BTreeSet<WorkerId>, BTreeSet<WorkerId>) =
            removed.into_iter().partition(in_use);
        self.removed = in_use;
        for worker in unused {
            if let Some(address) = self.addresses.remove(&worker) {
                self.leave_address(worker, address);
            }
            self.draining.remove(&worker);
            if let Some(name) = self.names.remove(&worker) {
                self.ids.remove(&name);
            }
        }
    }

    /// Sets whether a worker is draining.
    pub fn set_draining(&mut self, worker: WorkerId, draining: bool) {
        if draining {
            self.draining.insert(worker);
        } else {
            self.draining.remove(&worker);
        }
    }

    /// Returns whether a worker is draining and must get no new work. The driver checks it immediately before it sends,
    /// as the worker may have begun to drain since the module's decision.
    pub fn is_draining(&self, worker: WorkerId) -> bool {
        self.draining.contains(&worker)
    }

    /// Returns the number of known workers.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Returns whether no worker is known.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }
}

/// Returns the id at the end of a name, or the name's hash if there is none.
fn preferred_id(name: &str) -> WorkerId {
    let tail = name.rsplit('-').next().unwrap_or(name);
    let stated = match tail.len() {
        HEX_ID_LENGTH => u32::from_str_radix(tail, 16).ok(),
        _ => None,
    };
    WorkerId(stated.unwrap_or_else(|| fnv1a(name)))
}

fn fnv1a(text: &str) -> u32 {
    text.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

#[cfg(test)]
mod tests;
