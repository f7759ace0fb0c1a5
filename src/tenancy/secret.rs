//! Signature keys in the notation of the Standard Webhooks specification: HMAC (`whsec_`) and
//! Ed25519 (`whsk_` to sign and verify, `whpk_` to verify only). Key values never appear in debug
//! output.

use std::fmt;

use base64::prelude::{Engine, BASE64_STANDARD};
use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use zeroize::Zeroizing;

use super::TenantError;
use crate::api::Micros;

#[derive(Clone)]
enum Key {
    Hmac(Zeroizing<Vec<u8>>),
    Sign(Box<SigningKey>),
    Check(Box<VerifyingKey>),
}

/// A signature key.
#[derive(Clone)]
pub struct Secret {
    key: Key,
    /// End of the key's validity; `None` for the current key.
    pub until: Option<Micros>,
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Secret {{ {}, until: {:?} }}", self.kind(), self.until)
    }
}

impl PartialEq for Secret {
    fn eq(&self, other: &Secret) -> bool {
        match (&self.key, &other.key) {
            (Key::Hmac(a), Key::Hmac(b)) => a == b,
            (Key::Sign(a), Key::Sign(b)) => a == b,
            (Key::Check(a), Key::Check(b)) => a == b,
            _ => false,
        }
    }
}

impl Secret {
    /// Parses `whsec_` and 24 to 64 bytes in base64, `whsk_` and 32 or 64 bytes (the seed, or the
    /// seed and the public key), or `whpk_` and 32 bytes.
    pub fn parse(text: &str) -> Result<Secret, TenantError> {
        let (prefix, rest) = text.split_once('_').ok_or(TenantError::Secret)?;
        let bytes = Zeroizing::new(
            BASE64_STANDARD
                .decode(rest)
                .map_err(|_| TenantError::Secret)?,
        );
        let half = |at: usize| <[u8; 32]>::try_from(bytes.get(at..at + 32)?).ok();
        let key = match (prefix, bytes.len()) {
            ("whsec", 24..=64) => Some(Key::Hmac(bytes.clone())),
            ("whsk", 32 | 64) => {
                half(0)
                    .map(|seed| SigningKey::from_bytes(&seed))
                    .and_then(|key| {
                        let fits =
                            bytes.len() == 32 || half(32) == Some(key.verifying_key().to_bytes());
                        fits.then(|| Key::Sign(Box::new(key)))
                    })
            }
            ("whpk", 32) => half(0)
                .and_then(|b| VerifyingKey::from_bytes(&b).ok())
                .filter(|k| !k.is_weak())
                .map(|k| Key::Check(Box::new(k))),
            _ => None,
        };
        Ok(Secret {
            key: key.ok_or(TenantError::Secret)?,
            until: None,
        })
    }

    /// Returns the key as text, for storage and replication only.
    pub(super) fn text(&self) -> String {
        match &self.key {
            Key::Hmac(key) => format!("whsec_{}", BASE64_STANDARD.encode(key.as_slice())),
            Key::Sign(key) => format!("whsk_{}", BASE64_STANDARD.encode(key.to_keypair_bytes())),
            Key::Check(key) => format!("whpk_{}", BASE64_STANDARD.encode(key.to_bytes())),
        }
    }

    /// Returns the same key with another end of its validity.
    pub fn until(self, until: Option<Micros>) -> Secret {
        Secret { until, ..self }
    }

    /// Returns the kind of the key.
    pub fn kind(&self) -> &'static str {
        match self.key {
            Key::Hmac(_) => "hmac",
            Key::Sign(_) => "ed25519",
            Key::Check(_) => "ed25519-public",
        }
    }

    /// Returns the public half of an Ed25519 key for verifiers: `whpk_` and base64.
    pub fn public(&self) -> Option<String> {
        let key = match &self.key {
            Key::Hmac(_) => return None,
            Key::Sign(key) => key.verifying_key().to_bytes(),
            Key::Check(key) => key.to_bytes(),
        };
        Some(format!("whpk_{}", BASE64_STANDARD.encode(key)))
    }

    /// Returns whether the key is valid at `now`.
    pub fn valid(&self, now: Micros) -> bool {
        self.until.is_none_or(|t| now < t)
    }

    /// Returns whether the key can create signatures.
    pub fn signs(&self) -> bool {
        !matches!(self.key, Key::Check(_))
    }

    fn mac(key: &[u8], content: &[u8]) -> Option<Hmac<Sha256>> {
        let mut mac = Hmac::<Sha256>::new_from_slice(key).ok()?;
        mac.update(content);
        Some(mac)
    }

    /// Signs `content`. Returns `v1,` or `v1a,` and base64, or `None` if the key can only verify.
    pub fn sign(&self, content: &[u8]) -> Option<String> {
        match &self.key {
            Key::Hmac(key) => {
                let mac = Secret::mac(key, content)?.finalize().into_bytes();
                Some(format!("v1,{}", BASE64_STANDARD.encode(mac)))
            }
            Key::Sign(key) => Some(format!(
                "v1a,{}",
                BASE64_STANDARD.encode(key.sign(content).to_bytes())
            )),
            Key::Check(_) => None,
        }
    }

    /// Returns whether a signature from the header was made by this key over `content`. Signatures
    /// of other versions are rejected. The comparison takes constant time.
    pub fn verify(&self, content: &[u8], signature: &str) -> bool {
        let bytes = |prefix: &str| {
            signature
                .strip_prefix(prefix)
                .and_then(|s| BASE64_STANDARD.decode(s).ok())
        };
        let ed25519 = |key: &VerifyingKey| {
            let signature = bytes("v1a,").and_then(|b| Signature::from_slice(&b).ok());
            signature.is_some_and(|s| key.verify_strict(content, &s).is_ok())
        };
        match &self.key {
            Key::Hmac(key) => match (bytes("v1,"), Secret::mac(key, content)) {
                (Some(given), Some(mac)) => mac.verify_slice(&given).is_ok(),
                _ => false,
            },
            Key::Sign(key) => ed25519(&key.verifying_key()),
            Key::Check(key) => ed25519(key),
        }
    }
}

/// Returns the secrets after a rotation: the new one first, then the earlier ones, which stay valid
/// until `until` at the latest.
pub fn rotated(
    mut secrets: Vec<Secret>,
    fresh: Secret,
    now: Micros,
    until: Micros,
    max_secrets: usize,
) -> Result<Vec<Secret>, TenantError> {
    secrets.retain(|s| s.valid(now) && *s != fresh);
    for old in &mut secrets {
        old.until = Some(old.until.map_or(until, |t| t.min(until)));
    }
    secrets.retain(|s| s.valid(now));
    if secrets.len() >= max_secrets {
        return Err(TenantError::TooMany);
    }
    secrets.insert(0, fresh);
    Ok(secrets)
}

#[cfg(test)]
mod fixture_tests;
