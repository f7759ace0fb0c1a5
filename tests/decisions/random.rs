//! SplitMix64, a pseudo-random generator with the same output on every platform.

/// A SplitMix64 generator.
pub struct Random(u64);

impl Random {
    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> Random {
        Random(seed)
    }

    /// Returns the next number.
    pub fn number(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number below `bound`, or 0 if `bound` is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.number() % bound.max(1)
    }

    /// Returns true with a probability of `percent` in a hundred.
    pub fn percent(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}
