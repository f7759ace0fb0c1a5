//! The gateway's own deadlines, and their form in the core's queue.

use slotmap::{Key, KeyData};

use super::ConnKey;
use crate::core::ExternalDeadline;

/// A deadline of the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GatewayDeadline {
    /// The idle timeout of a connection, or the timeout of an exchange on it.
    Connection(ConnKey),
    /// The next connect to service discovery.
    DiscoveryReconnect,
    /// The closing of the listeners, as the gateway drains.
    StopAccepting,
    /// The next attempt to accept after a lack of capacity.
    AcceptRetry,
    /// The next reading of the trust bundle.
    BundleReload,
    /// The next delivery to an endpoint, or the timeout of a delivery.
    Delivery,
    /// The next retention pass over the store.
    Retention,
    /// The gossip driver's next step.
    Gossip,
    /// The next attempt to accept clients of the operator console.
    ConsoleAcceptRetry,
    /// The next reading of the states of the gateway's other processes.
    HotRestart,
    /// The consensus driver's next step.
    Consensus,
    /// The next health check on behalf of the fleet.
    HealthChecks,
    /// The next step of load coordination.
    LoadCoordination,
    /// The replication driver's next step.
    Replication,
    /// The tenant driver's next step.
    Tenants,
    /// The next check of the former versions of tenants.
    FormerTenants,
}

/// [`ExternalDeadline::kind`] of connections' deadlines; the number is the connection's key.
const CONNECTION_KIND: u8 = 0;
/// [`ExternalDeadline::kind`] of deadlines that exist once; the number is the index in
/// [`SINGLE_DEADLINES`].
const SINGLE_KIND: u8 = 2;

/// The deadlines that exist once. Deadlines of the same instant fall due in this order.
const SINGLE_DEADLINES: [GatewayDeadline; 15] = [
    GatewayDeadline::DiscoveryReconnect,
    GatewayDeadline::StopAccepting,
    GatewayDeadline::AcceptRetry,
    GatewayDeadline::BundleReload,
    GatewayDeadline::Delivery,
    GatewayDeadline::Retention,
    GatewayDeadline::Gossip,
    GatewayDeadline::ConsoleAcceptRetry,
    GatewayDeadline::HotRestart,
    GatewayDeadline::Consensus,
    GatewayDeadline::HealthChecks,
    GatewayDeadline::LoadCoordination,
    GatewayDeadline::Replication,
    GatewayDeadline::Tenants,
    GatewayDeadline::FormerTenants,
];

impl From<GatewayDeadline> for ExternalDeadline {
    fn from(deadline: GatewayDeadline) -> ExternalDeadline {
        if let GatewayDeadline::Connection(key) = deadline {
            return ExternalDeadline {
                kind: CONNECTION_KIND,
                number: key.data().as_ffi(),
            };
        }
        let index = SINGLE_DEADLINES
            .iter()
            .position(|single| *single == deadline);
        ExternalDeadline {
            kind: SINGLE_KIND,
            // All deadlines except those of connections are listed, which a test checks.
            number: index.unwrap_or(SINGLE_DEADLINES.len()) as u64,
        }
    }
}

impl From<ExternalDeadline> for GatewayDeadline {
    fn from(deadline: ExternalDeadline) -> GatewayDeadline {
        let single = match deadline.kind {
            SINGLE_KIND => SINGLE_DEADLINES.get(deadline.number as usize),
            _ => None,
        };
        single.copied().unwrap_or(GatewayDeadline::Connection(
            KeyData::from_ffi(deadline.number).into(),
        ))
    }
}

#[cfg(test)]
mod tests;
