//! A connection's input buffer: it grows as it needs and is compacted in place.

use std::io::{self, Read};

/// Bytes that a buffer starts with.
const INITIAL_BUFFER_BYTES: usize = 2048;
/// A larger buffer is freed once it is empty.
pub(super) const MAX_EMPTY_BUFFER_BYTES: usize = 64 * 1024;

/// Bytes that were received and not consumed yet.
#[derive(Debug, Default)]
pub struct Buffer {
    data: Vec<u8>,
    start: usize,
    end: usize,
}

/// The result of one read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fill {
    /// Some bytes came; there may be more.
    Received,
    /// Nothing more has come for now.
    WouldBlock,
    /// The buffer holds as much as it may.
    Full,
    /// The peer's side has ended.
    Ended,
}

impl Buffer {
    /// The bytes that were received and not consumed.
    pub fn bytes(&self) -> &[u8] {
        &self.data[self.start..self.end]
    }

    /// Drops the first `n` bytes.
    pub fn consume(&mut self, n: usize) {
        self.start = (self.start + n).min(self.end);
        if self.start == self.end {
            self.start = 0;
            self.end = 0;
            if self.data.len() > MAX_EMPTY_BUFFER_BYTES {
                self.data = Vec::new();
            }
        }
    }

    /// Reads once; holds no more than `limit` bytes.
    ///
    /// # Errors
    ///
    /// The reader's own, but for interruptions, after which it reads again.
    pub fn fill(&mut self, from: &mut impl Read, limit: usize) -> io::Result<Fill> {
        let unread = self.end - self.start;
        if unread >= limit {
            return Ok(Fill::Full);
        }
        if self.end == self.data.len() {
            if self.start > 0 {
                self.data.copy_within(self.start..self.end, 0);
                self.start = 0;
                self.end = unread;
            }
            if self.end == self.data.len() {
                let size = (self.data.len() * 2)
                    .clamp(INITIAL_BUFFER_BYTES, limit.max(INITIAL_BUFFER_BYTES));
                self.data.resize(size, 0);
            }
        }
        loop {
            match from.read(&mut self.data[self.end..]) {
                Ok(0) => return Ok(Fill::Ended),
                Ok(n) => {
                    self.end += n;
                    return Ok(Fill::Received);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(Fill::WouldBlock),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Appends bytes as if they had been read; for recorded exchanges.
    pub fn append(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            if !matches!(self.fill(&mut bytes, usize::MAX >> 1), Ok(Fill::Received)) {
                return;
            }
        }
    }
}

#[cfg(test)]
mod tests;
