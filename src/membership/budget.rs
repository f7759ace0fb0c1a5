//! Limits an instance's outgoing bytes and datagrams per second, regardless of the group's size.

use crate::api::Micros;

/// Token buckets for bytes and datagrams. Each holds at most one second's allowance.
#[derive(Clone, Debug)]
pub struct Budget {
    bytes_per_s: f64,
    datagrams_per_s: f64,
    bytes: f64,
    datagrams: f64,
    refilled_at: Micros,
    /// Number of datagrams that were not sent because the budget was exhausted.
    pub withheld: u64,
}

impl Budget {
    /// Creates a budget with both buckets full.
    pub fn new(bytes_per_s: u32, datagrams_per_s: u32, now: Micros) -> Budget {
        let (b, d) = (f64::from(bytes_per_s), f64::from(datagrams_per_s));
        Budget {
            bytes_per_s: b,
            datagrams_per_s: d,
            bytes: b,
            datagrams: d,
            refilled_at: now,
            withheld: 0,
        }
    }

    fn refill(&mut self, now: Micros) {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.refilled_at = self.refilled_at.max(now);
        self.bytes = (self.bytes + elapsed_s * self.bytes_per_s).min(self.bytes_per_s);
        self.datagrams =
            (self.datagrams + elapsed_s * self.datagrams_per_s).min(self.datagrams_per_s);
    }

    /// Returns the size of the largest datagram that may be sent now, at most `limit` bytes, or 0
    /// if none may be sent.
    pub fn max_datagram_bytes(&mut self, now: Micros, limit: usize) -> usize {
        self.refill(now);
        if self.datagrams < 1.0 {
            return 0;
        }
        (self.bytes as usize).min(limit)
    }

    /// Charges a datagram to the budget. Returns `false` and increments [`Budget::withheld`] if the
    /// budget does not cover the datagram.
    pub fn try_take(&mut self, now: Micros, size: usize) -> bool {
        self.refill(now);
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
