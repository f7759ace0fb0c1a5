//! The header `webhook-signature`: signatures over `id.timestamp.body`, separated by spaces.

use crate::tenancy::Secret;

/// Maximum number of signatures checked in one header.
const MAX_SIGNATURES: usize = 16;

fn signed_content(id: &str, timestamp: u64, body: &[u8]) -> Vec<u8> {
    [format!("{id}.{timestamp}.").as_bytes(), body].concat()
}

/// The value of `webhook-signature`: one signature for each secret that can sign.
pub fn sign<'a>(
    secrets: impl Iterator<Item = &'a Secret>,
    id: &str,
    timestamp: u64,
    body: &[u8],
) -> String {
    let content = signed_content(id, timestamp, body);
    secrets
        .filter_map(|s| s.sign(&content))
        .collect::<Vec<_>>()
        .join(" ")
}

/// Returns true if one of the header's signatures verifies with one of the secrets.
pub fn verify<'a>(
    secrets: impl Iterator<Item = &'a Secret>,
    id: &str,
    timestamp: u64,
    body: &[u8],
    header: &str,
) -> bool {
    let content = signed_content(id, timestamp, body);
    let given: Vec<&str> = header
        .split(' ')
        .filter(|s| !s.is_empty())
        .take(MAX_SIGNATURES)
        .collect();
    secrets
        .into_iter()
        .any(|secret| given.iter().any(|g| secret.verify(&content, g)))
}

#[cfg(test)]
mod tests;
