//! SPIFFE identities: verifies JWT-SVIDs with a trust domain's bundle and looks up callers' roles.
//!
//! The crate jsonwebtoken verifies signatures; times are checked here, against the `now` passed in.

use std::collections::BTreeMap;
use std::fmt;

use jsonwebtoken::jwk::{JwkSet, PublicKeyUse};
use jsonwebtoken::{Algorithm, DecodingKey, Validation};
use serde::Deserialize;

use crate::api::Micros;

/// The algorithms that the JWT-SVID specification allows.
const ALGORITHMS: [Algorithm; 8] = [
    Algorithm::RS256,
    Algorithm::RS384,
    Algorithm::RS512,
    Algorithm::ES256,
    Algorithm::ES384,
    Algorithm::PS256,
    Algorithm::PS384,
    Algorithm::PS512,
];
/// Maximum length of a SPIFFE ID, in bytes.
const MAX_ID_BYTES: usize = 2048;

/// Why a caller or the trust bundle is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IdentityError {
    /// The bundle cannot be read.
    Bundle(String),
    /// A SPIFFE ID is malformed or of another trust domain.
    Id(String),
    /// The token's form, algorithm or key is not that of a JWT-SVID.
    Token(&'static str),
    /// The token's signature, audience or a claim is invalid.
    Claims(String),
    /// The token has expired or is not valid yet.
    Time,
}

impl fmt::Display for IdentityError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            IdentityError::Bundle(e) => write!(f, "the trust bundle cannot be used: {e}"),
            IdentityError::Id(id) => write!(f, "'{id}' is not a SPIFFE ID of the trust domain"),
            IdentityError::Token(what) => write!(f, "not a JWT-SVID: {what}"),
            IdentityError::Claims(e) => write!(f, "the JWT-SVID does not hold: {e}"),
            IdentityError::Time => write!(f, "the JWT-SVID is not valid at this time"),
        }
    }
}

impl std::error::Error for IdentityError {}

/// Checks that `id` is a SPIFFE ID with a path, in this trust domain.
pub fn check_id(id: &str, trust_domain: &str) -> Result<(), IdentityError> {
    let bad = || IdentityError::Id(id.chars().take(80).collect());
    let rest = id
        .strip_prefix("spiffe://")
        .filter(|_| id.len() <= MAX_ID_BYTES)
        .ok_or_else(bad)?;
    let (domain, path) = rest.split_once('/').ok_or_else(bad)?;
    let segment = |s: &str| {
        !s.is_empty()
            && s != "."
            && s != ".."
            && s.bytes()
                .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'.' | b'_'))
    };
    (domain == trust_domain && path.split('/').all(segment))
        .then_some(())
        .ok_or_else(bad)
}

/// A caller's permissions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// May read.
    Viewer,
    /// May read and change.
    Operator,
}

#[derive(Deserialize)]
struct Claims {
    sub: String,
    exp: f64,
    nbf: Option<f64>,
}

/// A trust domain's keys and the roles by SPIFFE ID. A caller without an entry has no role.
#[derive(Debug)]
pub struct TokenVerifier {
    trust_domain: String,
    audience: String,
    keys: BTreeMap<String, DecodingKey>,
    roles: BTreeMap<String, Role>,
}

impl TokenVerifier {
    /// Creates a gate without keys, which rejects every token.
    pub fn new(
        trust_domain: &str,
        audience: &str,
        roles: BTreeMap<String, Role>,
    ) -> Result<TokenVerifier, IdentityError> {
        roles.keys().try_for_each(|id| check_id(id, trust_domain))?;
        Ok(TokenVerifier {
            trust_domain: trust_domain.into(),
            audience: audience.into(),
            keys: BTreeMap::new(),
            roles,
        })
    }

    /// Replaces the keys with a bundle's keys for JWT-SVIDs and returns their number. On an error
    /// the current keys stay.
    pub fn load(&mut self, bundle: &str) -> Result<usize, IdentityError> {
        let fail = |e: &dyn fmt::Display| IdentityError::Bundle(e.to_string());
        let set: JwkSet = serde_json::from_str(bundle).map_err(|e| fail(&e))?;
        let mut keys = BTreeMap::new();
        for jwk in &set.keys {
            // A bundle also contains keys for X.509-SVIDs; these are skipped.
            if jwk.common.public_key_use != Some(PublicKeyUse::Other("jwt-svid".into())) {
                continue;
            }
            let id = jwk
                .common
                .key_id
                .clone()
                .ok_or_else(|| fail(&"a JWT-SVID key without kid"))?;
            keys.insert(id, DecodingKey::from_jwk(jwk).map_err(|e| fail(&e))?);
        }
        self.keys = keys;
        Ok(self.keys.len())
    }

    /// Verifies a token. Returns the caller's SPIFFE ID and its role, if any.
    pub fn check(&self, token: &str, now: Micros) -> Result<(String, Option<Role>), IdentityError> {
        let header = jsonwebtoken::decode_header(token)
            .map_err(|_| IdentityError::Token("no readable header"))?;
        if !ALGORITHMS.contains(&header.alg) {
            return Err(IdentityError::Token("algorithm not allowed"));
        }
        if header
            .typ
            .as_deref()
            .is_some_and(|t| t != "JWT" && t != "JOSE")
        {
            return Err(IdentityError::Token("type not allowed"));
        }
        // `kid` is optional in the specification; without it each of the bundle's keys is tried.
        let matches_kid = |kid: &&String| header.kid.as_ref().is_none_or(|k| k == *kid);
        let keys: Vec<&DecodingKey> = self
            .keys
            .iter()
            .filter(|(kid, _)| matches_kid(kid))
            .map(|(_, k)| k)
            .collect();
        if keys.is_empty() {
            return Err(IdentityError::Token("key not in the bundle"));
        }
        let mut rules = Validation::new(header.alg);
        rules.set_audience(&[&self.audience]);
        rules.set_required_spec_claims(&["exp", "sub", "aud"]);
        rules.validate_exp = false;
        let mut claims = Err(IdentityError::Token("no key"));
        for key in keys {
            let decoded = jsonwebtoken::decode::<Claims>(token, key, &rules);
            claims = decoded
                .map(|t| t.claims)
                .map_err(|e| IdentityError::Claims(e.to_string()));
            if claims.is_ok() {
                break;
            }
        }
        let claims = claims?;
        let seconds = now as f64 / 1e6;
        // A NaN in `exp` or `nbf` makes the token invalid.
        let valid = seconds < claims.exp && claims.nbf.is_none_or(|nbf| nbf <= seconds);
        if !valid {
            return Err(IdentityError::Time);
        }
        check_id(&claims.sub, &self.trust_domain)?;
        let role = self.roles.get(&claims.sub).copied();
        Ok((claims.sub, role))
    }
}
