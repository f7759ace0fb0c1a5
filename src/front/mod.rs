//! The fronts: decode requests into calls for the core and encode its answers, without any policy.

pub mod http;
pub mod operator_console;
pub mod platform;
pub mod webhook;
