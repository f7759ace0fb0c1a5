//! Signed webhooks, as the Standard Webhooks specification has them: calls in, callbacks out.

pub mod answer;
pub mod inbound;
pub mod message;
pub mod replay;
pub mod signature;
