//! The fronts decode requests into calls for the core and encode the core's answers. They contain
//! no policy.

pub mod http;
pub mod operator_console;
pub mod platform;
pub mod webhook;
