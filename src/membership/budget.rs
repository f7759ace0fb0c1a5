//! The ceiling of what an instance sends: bytes and datagrams a second, whatever the size of the group.

use crate::api::Micros;

/// A ceiling. What is saved up is no more than one second's.
#[derive(Clone, Debug)]
pub struct Budget {
    bytes_per_s: f64,
    datagrams_per_s: f64,
    bytes: f64,
    datagrams: f64,
    at: Micros,
    /// Datagrams that were not sent for want of budget.
    pub withheld: u64,
}

impl Budget {
    /// A ceiling with a second's worth saved up.
    pub fn new(bytes_per_s: u32, datagrams_per_s: u32, now: Micros) -> Budget {
        let (b, d) = (f64::from(bytes_per_s), f64::from(datagrams_per_s));
        Budget {
            bytes_per_s: b,
            datagrams_per_s: d,
            bytes: b,
            datagrams: d,
            at: now,
            withheld: 0,
        }
    }

    fn fill(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.at) as f64 / 1e6;
        self.at = self.at.max(now);
        self.bytes = (self.bytes + passed * self.bytes_per_s).min(self.bytes_per_s);
        self.datagrams = (self.datagrams + passed * self.datagrams_per_s).min(self.datagrams_per_s);
    }

    /// The largest datagram that may go now, up to `most` bytes; 0 for none.
    pub fn room(&mut self, now: Micros, most: usize) -> usize {
        self.fill(now);
        if self.datagrams < 1.0 {
            return 0;
        }
        (self.bytes as usize).min(most)
    }

    /// Takes a datagram; `false` if it may not go, which is counted.
    pub fn take(&mut self, now: Micros, size: usize) -> bool {
        self.fill(now);
        if self.datagrams < 1.0 || self.bytes < size as f64 {
            self.withheld += 1;
            return false;
        }
        (self.datagrams, self.bytes) = (self.datagrams - 1.0, self.bytes - size as f64);
        true
    }
}

#[cfg(test)]
mod tests;
