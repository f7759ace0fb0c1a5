//! Tools and stand-ins around the gateway.

fn main() {}
