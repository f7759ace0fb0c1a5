//! Tools and stand-ins around the gateway: what its tests, measurements and a newcomer's first steps share.

pub mod bench;
pub mod conformance;
pub mod crash;
pub mod demo;
pub mod emulator;
pub mod gossip;
pub mod history;
pub mod links;
pub mod load;
pub mod owners;
pub mod rate;
pub mod rounds;
pub mod stand_in;
