//! A histogram of durations with fixed bounds.

use serde::ser::SerializeMap;
use serde::Serialize;

use crate::api::Micros;

/// The upper bounds of all buckets but the last, in milliseconds.
const BOUNDS_MS: [Micros; 11] = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000];
const MICROS_PER_MILLI: Micros = 1_000;

/// Counts of durations by size, their sum and their maximum.
#[derive(Clone, Debug, Default)]
pub struct Histogram {
    counts: [u64; BOUNDS_MS.len() + 1],
    total_us: Micros,
    max_us: Micros,
}

impl Histogram {
    /// Records one duration.
    pub fn record(&mut self, duration: Micros) {
        let bucket = BOUNDS_MS.partition_point(|bound| bound * MICROS_PER_MILLI < duration);
        self.counts[bucket] += 1;
        self.total_us += duration;
        self.max_us = self.max_us.max(duration);
    }

    /// The number of durations.
    pub fn count(&self) -> u64 {
        self.counts.iter().sum()
    }

    /// The longest duration.
    pub fn max(&self) -> Micros {
        self.max_us
    }

    /// The sum of all durations.
    pub fn total(&self) -> Micros {
        self.total_us
    }
}

/// Written as the sum, the maximum, and the counts of the buckets that are not empty by their
/// bounds.
impl Serialize for Histogram {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(None)?;
        map.serialize_entry("count", &self.count())?;
        map.serialize_entry("total_us", &self.total_us)?;
        map.serialize_entry("max_us", &self.max_us)?;
        for (bound, count) in BOUNDS_MS.iter().zip(self.counts) {
            if count > 0 {
                map.serialize_entry(&format!("le_{bound}_ms"), &count)?;
            }
        }
        if self.counts[BOUNDS_MS.len()] > 0 {
            map.serialize_entry("over", &self.counts[BOUNDS_MS.len()])?;
        }
        map.end()
    }
}
