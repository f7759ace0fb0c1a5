//! Seals: Ed25519 with a set of accepted keys per instance, or keyed BLAKE3 with shared keys.
//!
//! Any holder of a shared key can impersonate every member: that mode keeps outsiders out and
//! trusts all insiders. Several keys are valid at once, so a rotation needs no synchronized switch:
//! first all members accept the new key, then they use it, then the old key is removed.

use std::collections::BTreeMap;
use std::fmt;

use base64::prelude::{Engine, BASE64_STANDARD};
use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};
use zeroize::Zeroizing;

use super::is_name;

/// Maximum number of shared keys, or of keys accepted for one name.
const MAX_KEYS: usize = 8;

/// Reasons why keys are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyError {
    /// A key is not 32 bytes in base64, or is a weak public key.
    Key,
    /// An instance name is invalid.
    Name,
    /// There is no key, or there are more than the maximum.
    Count,
    /// The private key's public half is not among the keys accepted for this instance, so other
    /// members would reject its seals.
    Own,
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            KeyError::Key => "a key is 32 bytes in base64",
            KeyError::Name => "an instance's name is 1 to 64 letters, digits, -, _ and .",
            KeyError::Count => "one to eight keys are accepted at once",
            KeyError::Own => "the instance's own key is not among those accepted for its name",
        })
    }
}

impl std::error::Error for KeyError {}

#[derive(Clone)]
enum Mode {
    Shared {
        keys: Vec<Zeroizing<[u8; 32]>>,
    },
    PerInstance {
        own: Box<SigningKey>,
        accepted: BTreeMap<String, Vec<VerifyingKey>>,
    },
}

/// An instance's keys. Their values never appear in debug output.
#[derive(Clone)]
pub struct Keys(Mode);

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match &self.0 {
            Mode::Shared { .. } => "Keys(shared)",
            Mode::PerInstance { .. } => "Keys(each)",
        })
    }
}

fn decode_key(text: &str) -> Result<Zeroizing<[u8; 32]>, KeyError> {
    let raw = Zeroizing::new(BASE64_STANDARD.decode(text).map_err(|_| KeyError::Key)?);
    Ok(Zeroizing::new(
        raw.as_slice().try_into().map_err(|_| KeyError::Key)?,
    ))
}

impl Keys {
    /// Creates the mode with shared keys. The first key creates seals.
    pub fn shared(texts: &[String]) -> Result<Keys, KeyError> {
        if texts.is_empty() || texts.len() > MAX_KEYS {
            return Err(KeyError::Count);
        }
        Ok(Keys(Mode::Shared {
            keys: texts
                .iter()
                .map(|t| decode_key(t))
                .collect::<Result<_, _>>()?,
        }))
    }

    /// Creates the mode with one private key per instance. `accepted` lists the public keys
    /// accepted for each name and must contain this instance's own public key.
    pub fn per_instance(
        name: &str,
        own: &str,
        accepted: &BTreeMap<String, Vec<String>>,
    ) -> Result<Keys, KeyError> {
        let own = SigningKey::from_bytes(&*decode_key(own)?);
        let mut all = BTreeMap::new();
        for (name, texts) in accepted {
            if !is_name(name) {
                return Err(KeyError::Name);
            }
            if texts.is_empty() || texts.len() > MAX_KEYS {
                return Err(KeyError::Count);
            }
            let read = |t: &String| {
                let key = VerifyingKey::from_bytes(&*decode_key(t)?).map_err(|_| KeyError::Key)?;
                if key.is_weak() {
                    return Err(KeyError::Key);
                }
                Ok(key)
            };
            all.insert(
                name.clone(),
                texts.iter().map(read).collect::<Result<Vec<_>, _>>()?,
            );
        }
        if !all
            .get(name)
            .is_some_and(|keys| keys.contains(&own.verifying_key()))
        {
            return Err(KeyError::Own);
        }
        Ok(Keys(Mode::PerInstance {
            own: Box::new(own),
            accepted: all,
        }))
    }

    /// Returns the public key of a private key, in base64.
    pub fn public(own: &str) -> Result<String, KeyError> {
        Ok(BASE64_STANDARD.encode(
            SigningKey::from_bytes(&*decode_key(own)?)
                .verifying_key()
                .to_bytes(),
        ))
    }

    /// Returns whether seals by `name` can be accepted at all.
    pub fn accepts_name(&self, name: &str) -> bool {
        match &self.0 {
            Mode::Shared { .. } => is_name(name),
            Mode::PerInstance { accepted, .. } => accepted.contains_key(name),
        }
    }

    /// Seals `content` for a purpose. A seal for one purpose is invalid for any other.
    pub fn seal(&self, purpose: u8, content: &[u8]) -> Vec<u8> {
        let content = [&[purpose], content].concat();
        match &self.0 {
            // `Keys::shared` requires at least one key.
            Mode::Shared { keys } => keys
                .first()
                .map_or(Vec::new(), |k| mac(k, &content).to_vec()),
            Mode::PerInstance { own, .. } => own.sign(&content).to_bytes().to_vec(),
        }
    }

    /// Returns whether `seal` is a valid seal by `name` over `content` for this purpose.
    pub fn check(&self, name: &str, purpose: u8, content: &[u8], seal: &[u8]) -> bool {
        let content = [&[purpose], content].concat();
        match &self.0 {
            Mode::Shared { keys } => {
                let Ok(seal) = <[u8; 32]>::try_from(seal) else {
                    return false;
                };
                // `blake3::Hash` compares in constant time.
                is_name(name)
                    && keys
                        .iter()
                        .any(|k| blake3::Hash::from_bytes(mac(k, &content)) == seal)
            }
            Mode::PerInstance { accepted, .. } => {
                let Ok(seal) = Signature::from_slice(seal) else {
                    return false;
                };
                let keys = accepted.get(name).map_or(&[][..], Vec::as_slice);
                keys.iter()
                    .any(|k| k.verify_strict(&content, &seal).is_ok())
            }
        }
    }
}

fn mac(key: &[u8; 32], content: &[u8]) -> [u8; 32] {
    *blake3::keyed_hash(key, content).as_bytes()
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;

    pub fn private(n: u8) -> String {
        BASE64_STANDARD.encode([n; 32])
    }

    /// Returns the keys of instance `n` of `of` instances named `a`, `b`, and so on, whose private
    /// keys repeat the byte 1, 2, and so on.
    pub fn each(n: u8, of: u8) -> Keys {
        let name = |n: u8| char::from(b'a' + n).to_string();
        let all = (0..of)
            .map(|n| (name(n), vec![Keys::public(&private(n + 1)).unwrap()]))
            .collect();
        Keys::per_instance(&name(n), &private(n + 1), &all).unwrap()
    }

    #[test]
    fn seal_is_bound_to_name_purpose_and_content() {
        let (a, b) = (each(0, 2), each(1, 2));
        let seal = a.seal(1, b"word");
        assert!(b.check("a", 1, b"word", &seal));
        for (name, purpose, content) in [
            ("b", 1, &b"word"[..]),
            ("a", 2, b"word"),
            ("a", 1, b"worx"),
            ("z", 1, b"word"),
        ] {
            assert!(!b.check(name, purpose, content, &seal));
        }
        assert!(!b.check("a", 1, b"word", &seal[1..]) && !b.check("a", 1, b"word", &[]));
        assert!(!format!("{a:?}").contains("AQEB"));
    }

    #[test]
    fn keys_rotate_with_an_overlap() {
        let text = |n| private(n);
        let old = Keys::shared(&[text(1)]).unwrap();
        let both = Keys::shared(&[text(1), text(2)]).unwrap();
        let turned = Keys::shared(&[text(2), text(1)]).unwrap();
        let new = Keys::shared(&[text(2)]).unwrap();
        // Instances that are one rotation step apart accept each other's seals.
        for (x, y) in [(&old, &both), (&both, &turned), (&turned, &new)] {
            assert!(
                y.check("x", 1, b"w", &x.seal(1, b"w")) && x.check("x", 1, b"w", &y.seal(1, b"w"))
                    || std::ptr::eq(x, &old)
            );
        }
        assert!(!new.check("x", 1, b"w", &old.seal(1, b"w")));
        let own = |own: u8, accepted: &[u8]| {
            let all = accepted
                .iter()
                .map(|n| Keys::public(&private(*n)).unwrap())
                .collect();
            Keys::per_instance("a", &private(own), &BTreeMap::from([("a".to_owned(), all)]))
        };
        assert!(own(1, &[1, 2]).unwrap().check(
            "a",
            1,
            b"w",
            &own(2, &[1, 2]).unwrap().seal(1, b"w")
        ));
        assert_eq!(own(3, &[1, 2]).unwrap_err(), KeyError::Own);
        assert_eq!(Keys::shared(&[]).unwrap_err(), KeyError::Count);
        assert_eq!(Keys::shared(&["short".into()]).unwrap_err(), KeyError::Key);
    }
}
