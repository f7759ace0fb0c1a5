//! Idempotency keys, by which workers recognize the attempts of one operation.

use std::rc::Rc;

use thiserror::Error;

/// Maximum length of an idempotency key, in bytes.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;

/// The key of an operation. All attempts carry it unchanged, so that a worker drops repeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdempotencyKey(Rc<str>);

/// The text cannot be an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("an idempotency key is 1 to {MAX_IDEMPOTENCY_KEY_BYTES} visible ASCII characters without commas")]
pub struct InvalidIdempotencyKey;

impl IdempotencyKey {
    /// Creates a key. Characters that separate fields on a worker's connection are not allowed, as
    /// the key must arrive there unchanged.
    ///
    /// # Errors
    ///
    /// [`InvalidIdempotencyKey`] if the text is empty, too long or has other characters.
    pub fn new(text: &str) -> Result<IdempotencyKey, InvalidIdempotencyKey> {
        let is_allowed = |byte: u8| byte.is_ascii_graphic() && byte != b',';
        let has_valid_length = (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&text.len());
        if has_valid_length && text.bytes().all(is_allowed) {
            Ok(IdempotencyKey(text.into()))
        } else {
            Err(InvalidIdempotencyKey)
        }
    }

    /// Returns the text of the key.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}
