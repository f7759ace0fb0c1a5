//! The fronts: bytes into the core's calls, and its answers into bytes. Neither decides anything.

pub mod http;
pub mod operator_console;
pub mod platform;
pub mod webhook;
