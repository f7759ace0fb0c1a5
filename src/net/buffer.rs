//! A connection's input buffer, which grows on demand and is compacted in place.

use std::io::{self, Read};

/// The initial size of a buffer in bytes.
const INITIAL_BUFFER_BYTES: usize = 2048;
/// The maximum size in bytes of a buffer that is kept when empty; a larger one is freed.
const MAX_EMPTY_BUFFER_BYTES: usize = 4 * 1024;

/// The bytes that were received and not yet consumed.
#[derive(Debug, Default)]
pub struct Buffer {
    data: Vec<u8>,
    start: usize,
    end: usize,
}

/// The outcome of [`Buffer::fill`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FillOutcome {
    /// Bytes were read; more may be available.
    Received,
    /// No bytes are available at present.
    WouldBlock,
    /// The buffer has reached its limit.
    Full,
    /// The peer has closed its side.
    Ended,
}

impl Buffer {
    /// Returns the bytes that were received and not yet consumed.
    pub fn bytes(&self) -> &[u8] {
        &self.data[self.start..self.end]
    }

    /// Returns the size of the buffer's memory.
    pub fn capacity(&self) -> usize {
        self.data.len()
    }

    /// Discards the first `n` bytes.
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

    /// Performs one read, unless the buffer already holds `limit` bytes.
    ///
    /// # Errors
    ///
    /// The reader's error. Interrupted reads are retried.
    pub fn fill(&mut self, from: &mut impl Read, limit: usize) -> io::Result<FillOutcome> {
        let unread = self.end - self.start;
        if unread >= limit {
            return Ok(FillOutcome::Full);
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
                Ok(0) => return Ok(FillOutcome::Ended),
                Ok(n) => {
                    self.end += n;
                    return Ok(FillOutcome::Received);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    return Ok(FillOutcome::WouldBlock)
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Appends bytes as if they had been read; used by tests that replay recorded exchanges.
    pub fn append(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            if !matches!(
                self.fill(&mut bytes, usize::MAX >> 1),
                Ok(FillOutcome::Received)
            ) {
                return;
            }
        }
    }
}

#[cfg(test)]
mod tests;
