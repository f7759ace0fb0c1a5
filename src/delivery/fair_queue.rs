//! Fair turns: deficit round robin (Shreedhar and Varghese, 1995) over tenants, then over a tenant's endpoints.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// What a place may spend more with each round.
const QUANTUM: u32 = 8;

/// One ring of places that have something to send.
#[derive(Clone, Debug)]
pub struct Ring<K> {
    order: VecDeque<K>,
    saved: HashMap<K, u32>,
}

impl<K> Default for Ring<K> {
    fn default() -> Ring<K> {
        Ring {
            order: VecDeque::new(),
            saved: HashMap::new(),
        }
    }
}

impl<K: Copy + Eq + Hash> Ring<K> {
    /// Takes a place in, at the end, unless it is in.
    pub fn join(&mut self, key: K) {
        if self.saved.try_insert_new(key) {
            self.order.push_back(key);
        }
    }

    /// Whether nothing is in.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Whose turn it is, and what it costs. `cost` tells what a place's next piece costs (1 and up), or none if it
    /// has nothing that may go now: then it leaves the ring with what it had saved.
    pub fn next(&mut self, mut cost: impl FnMut(K) -> Option<u32>) -> Option<(K, u32)> {
        loop {
            let key = *self.order.front()?;
            let Some(cost) = cost(key) else {
                self.order.pop_front();
                self.saved.remove(&key);
                continue;
            };
            let saved = self.saved.entry(key).or_default();
            if *saved >= cost {
                return Some((key, cost));
            }
            *saved += QUANTUM;
            self.order.rotate_left(1);
        }
    }

    /// Charges a place for what went.
    pub fn charge(&mut self, key: K, cost: u32) {
        if let Some(saved) = self.saved.get_mut(&key) {
            *saved = saved.saturating_sub(cost);
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

/// Tenants, each with its endpoints.
#[derive(Clone, Debug)]
pub struct FairQueue<T, E> {
    tenants: Ring<T>,
    endpoints: HashMap<T, Ring<E>>,
}

impl<T, E> Default for FairQueue<T, E> {
    fn default() -> FairQueue<T, E> {
        FairQueue {
            tenants: Ring::default(),
            endpoints: HashMap::new(),
        }
    }
}

impl<T: Copy + Eq + Hash, E: Copy + Eq + Hash> FairQueue<T, E> {
    /// An endpoint has something to send.
    pub fn join(&mut self, tenant: T, endpoint: E) {
        self.endpoints.entry(tenant).or_default().join(endpoint);
        self.tenants.join(tenant);
    }

    /// The endpoint whose turn it is, charged for its piece. `cost` as for [`Ring::next`].
    pub fn next(&mut self, mut cost: impl FnMut(E) -> Option<u32>) -> Option<E> {
        let endpoints = &mut self.endpoints;
        let mut chosen = None;
        let (tenant, paid) = self.tenants.next(|tenant| {
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
        self.tenants.charge(tenant, paid);
        if let Some(ring) = self.endpoints.get_mut(&tenant) {
            ring.charge(endpoint, paid);
        }
        Some(endpoint)
    }
}

#[cfg(test)]
mod tests;
