//! Fair queueing: deficit round robin (Shreedhar and Varghese, 1995) over tenants, then over a
//! tenant's endpoints.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// Cost that each round adds to the deficit counter of a queue.
const QUANTUM: u32 = 8;

/// Ring of the queues that have something to send, each known by a key.
#[derive(Clone, Debug)]
pub struct DeficitRoundRobin<K> {
    order: VecDeque<K>,
    /// Deficit counter of each queue in the ring.
    deficits: HashMap<K, u32>,
}

impl<K> Default for DeficitRoundRobin<K> {
    fn default() -> DeficitRoundRobin<K> {
        DeficitRoundRobin {
            order: VecDeque::new(),
            deficits: HashMap::new(),
        }
    }
}

impl<K: Copy + Eq + Hash> DeficitRoundRobin<K> {
    /// Appends a queue to the ring, unless the ring contains it.
    pub fn enqueue(&mut self, key: K) {
        if self.deficits.try_insert_new(key) {
            self.order.push_back(key);
        }
    }

    /// Returns whether the ring is empty.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns the queue whose turn it is and the cost of its next item. `cost` returns the cost of
    /// a queue's next item, at least 1, or none if the queue may not send now. Such a queue leaves
    /// the ring and loses its deficit counter.
    pub fn next(&mut self, mut cost: impl FnMut(K) -> Option<u32>) -> Option<(K, u32)> {
        loop {
            let key = *self.order.front()?;
            let Some(cost) = cost(key) else {
                self.order.pop_front();
                self.deficits.remove(&key);
                continue;
            };
            let deficit = self.deficits.entry(key).or_default();
            if *deficit >= cost {
                return Some((key, cost));
            }
            *deficit += QUANTUM;
            self.order.rotate_left(1);
        }
    }

    /// Deducts the cost of a sent item from the deficit counter of a queue.
    pub fn charge(&mut self, key: K, cost: u32) {
        if let Some(deficit) = self.deficits.get_mut(&key) {
            *deficit = deficit.saturating_sub(cost);
        }
    }
}

trait TryInsertNew<K> {
    fn try_insert_new(&mut self, key: K) -> bool;
}

impl<K: Eq + Hash> TryInsertNew<K> for HashMap<K, u32> {
    fn try_insert_new(&mut self, key: K) -> bool {
        match self.entry(key) {
            std::collections::hash_map::Entry::Occupied(_) => false,
            std::collections::hash_map::Entry::Vacant(v) => {
                v.insert(0);
                true
            }
        }
    }
}

/// Two-level fair queue: tenants, and the endpoints of each tenant.
#[derive(Clone, Debug)]
pub struct FairQueue<T, E> {
    tenants: DeficitRoundRobin<T>,
    endpoints: HashMap<T, DeficitRoundRobin<E>>,
}

impl<T, E> Default for FairQueue<T, E> {
    fn default() -> FairQueue<T, E> {
        FairQueue {
            tenants: DeficitRoundRobin::default(),
            endpoints: HashMap::new(),
        }
    }
}

impl<T: Copy + Eq + Hash, E: Copy + Eq + Hash> FairQueue<T, E> {
    /// Adds an endpoint that has something to send.
    pub fn enqueue(&mut self, tenant: T, endpoint: E) {
        self.endpoints.entry(tenant).or_default().enqueue(endpoint);
        self.tenants.enqueue(tenant);
    }

    /// Returns the endpoint whose turn it is and deducts the cost of its next item. `cost` is as
    /// for [`DeficitRoundRobin::next`].
    pub fn next(&mut self, mut cost: impl FnMut(E) -> Option<u32>) -> Option<E> {
        let endpoints = &mut self.endpoints;
        let mut chosen = None;
        let (tenant, charged_cost) = self.tenants.next(|tenant| {
            let ring = endpoints.get_mut(&tenant)?;
            match ring.next(&mut cost) {
                Some((endpoint, cost)) => {
                    chosen = Some(endpoint);
                    Some(cost)
                }
                None => {
                    endpoints.remove(&tenant);
                    None
                }
            }
        })?;
        let endpoint = chosen?;
        self.tenants.charge(tenant, charged_cost);
        if let Some(ring) = self.endpoints.get_mut(&tenant) {
            ring.charge(endpoint, charged_cost);
        }
        Some(endpoint)
    }
}

#[cfg(test)]
mod tests;
