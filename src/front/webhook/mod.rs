//! Signed webhooks after the Standard Webhooks specification: incoming calls, outgoing callbacks.

pub mod answer;
pub mod home;
pub mod inbound;
pub mod message;
pub mod replay;
pub mod signature;
