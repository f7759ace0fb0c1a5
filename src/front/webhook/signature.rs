//! The header `webhook-signature`: signatures over `id.timestamp.body`, apart by spaces.

use crate::tenancy::Secret;

/// Signatures of one header that are looked at.
const MOST: usize = 16;

fn content(id: &str, timestamp: u64, body: &[u8]) -> Vec<u8> {
    [format!("{id}.{timestamp}.").as_bytes(), body].concat()
}

/// The value of `webhook-signature`: one signature for each secret that can sign.
pub fn sign<'a>(
    secrets: impl Iterator<Item = &'a Secret>,
    id: &str,
    timestamp: u64,
    body: &[u8],
) -> String {
    let content = content(id, timestamp, body);
    secrets
        .filter_map(|s| s.sign(&content))
        .collect::<Vec<_>>()
        .join(" ")
}

/// Whether one of the signatures is one of the secrets'.
pub fn verify<'a>(
    secrets: impl Iterator<Item = &'a Secret>,
    id: &str,
    timestamp: u64,
    body: &[u8],
    header: &str,
) -> bool {
    let content = content(id, timestamp, body);
    let given: Vec<&str> = header
        .split(' ')
        .filter(|s| !s.is_empty())
        .take(MOST)
        .collect();
    secrets
        .into_iter()
        .any(|secret| given.iter().any(|g| secret.verify(&content, g)))
}

#[cfg(test)]
mod tests;
