//! The headers that sign a webhook.

use super::MAX_ID_BYTES;
use crate::api::Micros;
use crate::front::http::{request_error, Request, RequestError};
use crate::front::webhook::signature;
use crate::tenancy::Tenant;

/// The error of a request without a valid signature; it does not tell whether the tenant exists.
pub(super) const SIGNATURE_REFUSED: RequestError = request_error(401, "signature refused");

/// The headers of a signed request.
pub(super) struct SignedHeaders<'a> {
    /// The `webhook-id`.
    pub(super) id: &'a str,
    /// The time stamp, in seconds.
    pub(super) stamp: u64,
    signature: &'a str,
}

impl<'a> SignedHeaders<'a> {
    /// Reads the headers.
    pub(super) fn read(r: &Request<'a>) -> Result<SignedHeaders<'a>, RequestError> {
        // Full stops separate the signed parts; one inside an identity would make them ambiguous.
        let id = r
            .header("webhook-id")
            .filter(|id| !id.is_empty() && id.len() <= MAX_ID_BYTES && !id.contains('.'))
            .ok_or(SIGNATURE_REFUSED)?;
        let stamp = r
            .header("webhook-timestamp")
            .filter(|t| t.bytes().all(|b| b.is_ascii_digit()))
            .and_then(|t| t.parse().ok())
            .ok_or(SIGNATURE_REFUSED)?;
        let signature = r.header("webhook-signature").ok_or(SIGNATURE_REFUSED)?;
        Ok(SignedHeaders {
            id,
            stamp,
            signature,
        })
    }

    /// Returns whether a secret of the tenant that is valid at `valid_at` made the signature.
    pub(super) fn is_by(&self, tenant: &Tenant, body: &[u8], valid_at: Micros) -> bool {
        let secrets = tenant.secrets(valid_at);
        signature::verify(secrets, self.id, self.stamp, body, self.signature)
    }
}
