//! `rounds`: gateways as real processes over links that fail, one subject a file; judged by what each recorded.

pub mod copies;
pub mod fleet;
pub mod tenants;
