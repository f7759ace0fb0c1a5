//! Signed webhooks, as the Standard Webhooks specification has them: calls in, callbacks out.

pub mod callback;
pub mod inbound;
pub mod replay;
pub mod signature;
